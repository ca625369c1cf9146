#pragma once

namespace bamboohold {

/// How far the bytes that were written to a connection have got.
enum class SendState {
    /// Some of them have not been accepted yet.
    Sending,
    Sent,
    /// Writing has failed, so the connection is lost.
    Failed,
};

/// Whether a close of the connection by its other end may be taken for the end of what that end had to say. A reset is reported only once,
/// to whichever of write and read asks first; the read sees a plain end then. An end that closes while bytes are still being written to it
/// has not read them: nothing shows whether it had finished.
constexpr bool isOrderlyClose(SendState sent)
{
    return sent == SendState::Sent;
}

}
