#include "membership/evacuations.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace bamboohold;

namespace {

using Domains = std::set<std::string>;

}

BOOST_AUTO_TEST_SUITE(EvacuationsTest)

// Guards against a late notice or a slow read that restores an order after it was revoked, or revokes one that was given again.
BOOST_AUTO_TEST_CASE(newestStateIsInForceInAnyOrder)
{
    const bool held = rc::check("the newest version heard of is in force", [] {
        Evacuations evacuations;
        // The history of the store; the index is the version.
        std::vector<Domains> history{{}};
        for (const auto &[domain, evacuated] :
             *rc::gen::container<std::vector<std::pair<int, bool>>>(rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>()))) {
            Domains next = history.back();
            const std::string name = std::to_string(domain);
            evacuated ? (void)next.insert(name) : (void)next.erase(name);
            history.push_back(std::move(next));
        }
        std::size_t read = 0;
        std::size_t newest = 0;
        bool known = false;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
            rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange<std::size_t>(0, history.size())));
        for (const auto &[kind, drawn] : steps) {
            if (kind == 0) {
                evacuations.applyPeerState({.version = drawn, .domains = history[drawn]}, Instant{});
                newest = std::max(newest, drawn);
            } else {
                // The router reads the store's table as a whole, or follows its changes from the version that it has.
                read = std::max(read, drawn);
                if (kind == 1) {
                    evacuations.replaceStoreDomains(history[read]);
                } else {
                    for (const char *name : {"0", "1", "2"}) {
                        evacuations.applyStoreChange(name, history[read].contains(name));
                    }
                }
                evacuations.commitStoreVersion(read, Instant{});
                newest = std::max(newest, read);
            }
            known = true;
            RC_ASSERT(evacuations.inForce()->domains == history[newest]);
        }
        RC_ASSERT(evacuations.inForce().has_value() == known);
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()
