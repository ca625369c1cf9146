#include "cli/arguments.h"
#include "cli/budgetcommands.h"
#include "cli/domaincommands.h"
#include "cli/explaincommand.h"
#include "cli/inventorycommands.h"
#include "cli/output.h"
#include "daemon/version.h"

#include <boost/asio/co_spawn.hpp>

#include <iostream>
#include <map>

namespace {

using namespace bamboohold;

using Command = asio::awaitable<ExitCode> (*)(PlatformClient &, const Arguments &);

constexpr Duration s_platformTimeout = std::chrono::seconds(5);

const std::map<std::string, Command> &commands()
{
    static const std::map<std::string, Command> s_commands{
        {"inventory import", importInventory},
        {"inventory export", exportInventory},
        {"budget show", showBudgets},
        {"budget top-up", topUpBudget},
        {"budget close", closeBudget},
        {"budget ledger", showLedger},
        {"request show", showRequest},
        {"node list", listNodes},
        {"domain list", listDomains},
        {"domain evacuate", evacuateDomain},
        {"domain restore", restoreDomain},
    };
    return s_commands;
}

ExitCode runCommand(Command command, const Arguments &arguments)
{
    asio::io_context loop;
    PlatformClient platform(loop.get_executor(), arguments.platform, s_platformTimeout);
    ExitCode code = ExitCode::Failed;
    asio::co_spawn(loop, command(platform, arguments), [&code](const std::exception_ptr &error, ExitCode result) {
        if (error) {
            std::rethrow_exception(error);
        }
        code = result;
    });
    loop.run();
    return code;
}

ExitCode dispatch(const Arguments &arguments)
{
    if (arguments.help) {
        std::cout << clientHelp();
        return ExitCode::Done;
    }
    if (arguments.version) {
        std::cout << "bamboohold " << s_version << "\n";
        return ExitCode::Done;
    }
    if (!arguments.positional.empty() && arguments.positional.front() == "explain") {
        return explainCommand(arguments);
    }
    const std::string name = arguments.positional.size() < 2 ? "" : arguments.positional[0] + " " + arguments.positional[1];
    if (name == "inventory check") {
        return checkInventory(arguments);
    }
    const auto command = commands().find(name);
    if (command == commands().end()) {
        std::cerr << clientHelp();
        return ExitCode::Usage;
    }
    return runCommand(command->second, arguments);
}

}

int main(int argc, char **argv)
{
    const auto arguments = readArguments(argc, argv);
    const ExitCode code = arguments.ok() ? dispatch(*arguments) : reportFailure(toFailure(arguments.status()));
    return static_cast<int>(code);
}
