#include "budget/ledgerreader.h"

#include "budget/budgetrows.h"

namespace bamboohold {

asio::awaitable<absl::Status> visitLedger(PlatformClient &platform, ChargeVisitor visitor)
{
    const auto nodes = co_await platform.scan(s_nodePrefix);
    if (!nodes.ok()) {
        co_return nodes.status();
    }
    for (const TableRow &node : *nodes) {
        std::string key = textField(node.fields, "ledger");
        while (!key.empty()) {
            const auto object = co_await platform.readObject(key);
            if (!object.ok()) {
                co_return object.status();
            }
            const auto page = parseLedgerPage(*object);
            if (!page.ok()) {
                co_return page.status();
            }
            for (const Charge &charge : page->charges) {
                visitor(charge);
            }
            key = page->previous;
        }
    }
    co_return absl::OkStatus();
}

}
