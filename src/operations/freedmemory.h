#pragma once

namespace bamboohold {

/// Makes memory that the process has freed go back to the system: long buffers are mapped one by one, whatever was freed before, and
/// threads share few heaps. Called once at the start.
void returnFreedMemory();

}
