#include "cli/explaincommand.h"

#include "cli/output.h"
#include "operations/explanation.h"

#include <absl/strings/str_cat.h>
#include <boost/json/serialize.hpp>

#include <fstream>
#include <iostream>

namespace bamboohold {

namespace {

constexpr std::size_t s_firstFileIndex = 2;

bool appendLogFile(const std::string &path, std::vector<LogEntry> &log)
{
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        if (std::optional<LogEntry> entry = readLogEntry(line)) {
            log.push_back(*std::move(entry));
        }
    }
    return file.eof();
}

}

ExitCode explainCommand(const Arguments &arguments)
{
    if (arguments.positional.size() <= s_firstFileIndex) {
        return reportFailure({.kind = FailureKind::InvalidSetting, .detail = "explain requires a request id and at least one log file"});
    }
    std::vector<LogEntry> log;
    for (std::size_t index = s_firstFileIndex; index < arguments.positional.size(); ++index) {
        if (!appendLogFile(arguments.positional[index], log)) {
            return reportFailure({.kind = FailureKind::NotFound, .detail = absl::StrCat("cannot read ", arguments.positional[index])});
        }
    }
    const Explanation explanation = explainRequest(log, arguments.positional[1]);
    for (const LogEntry &entry : explanation.entries) {
        std::cout << boost::json::serialize(entry.fields) << "\n";
    }
    std::cout << "outcome: " << (explanation.outcome.empty() ? "not known" : explanation.outcome) << "\n";
    std::cout << "cause: " << explanation.cause << "\n";
    return explanation.outcome.empty() ? ExitCode::Failed : ExitCode::Done;
}

}
