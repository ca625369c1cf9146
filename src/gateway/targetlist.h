#pragma once

#include "clock/steadytime.h"
#include "gateway/gateway.h"
#include "gateway/targetfollower.h"
#include "membership/versionregistry.h"
#include "net/pause.h"
#include "routing/loadclient.h"
#include "routing/loadserver.h"
#include "routing/stablehash.h"
#include "store/tablewatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace bamboohold {

/// Follows the list of targets in the store and applies it to the balancer, together with the software versions that targets have had.
///
/// When entries are missing after a gap in what this router has seen, it asks other routers how the store has served the list; see
/// ListContinuity. It asks by datagrams, since the connections to its peers may take seconds to recover from a cut.
template<RowStore Store>
class TargetList
{
public:
    struct Options {
        std::string table;
        TargetFollower::Options follower;
        std::string incarnation;
        bool firstStart = false;
        /// Returns the addresses at which other routers answer questions about the list.
        std::function<std::vector<std::string>()> peers;
        /// Called after each read of the whole list.
        std::function<void()> onListRead;
        /// Other routers that are asked at a time, and the interval.
        std::size_t peersAsked = 6;
        Duration questionInterval = std::chrono::milliseconds(200);
    };

    /// All must outlive this object.
    TargetList(boost::asio::any_io_executor executor,
               Store &store,
               TargetBalancer &balancer,
               RelaySelector &relaySelector,
               Metrics &metrics,
               Options options)
        : m_executor(std::move(executor))
        , m_balancer(balancer)
        , m_relaySelector(relaySelector)
        , m_options(std::move(options))
        , m_follower(balancer, relaySelector, metrics, m_options.follower)
        , m_versions(m_executor, store, versionOptions())
        , m_watcher(store, watcherOptions())
        , m_random(std::random_device{}())
    {
    }

    /// Connects the exchange of reports with other routers. Both must outlive this object.
    void setLoadLink(LoadServer &server, LoadClient &client)
    {
        m_client = &client;
        server.setListReporter([this] {
            return m_balancer.continuity().report(steadyNow());
        });
        client.setListCallback([this](const ListReport &report) {
            m_balancer.continuity().applyReport(report, steadyNow());
            removeExpired();
        });
    }

    /// Starts to follow the list.
    void start()
    {
        boost::asio::co_spawn(m_executor, m_watcher.run(), boost::asio::detached);
        boost::asio::co_spawn(m_executor, m_versions.run(), boost::asio::detached);
    }

    /// Removes targets that have left. Call every few hundred milliseconds.
    void removeExpired()
    {
        for (const std::string &name : m_balancer.removeExpired(steadyNow())) {
            logLine(Severity::Info, "target.removed", {{"target", name}});
            m_relaySelector.removeTargetRelay(name);
        }
    }

    /// Whether the list has been read.
    bool known() const
    {
        return m_known;
    }

private:
    /// Routers write changes of versions this much later at most, each at a time of its own, so that most find them written.
    static constexpr Duration s_maxVersionDelay = std::chrono::milliseconds(1500);

    typename TableWatcher<Store>::Options watcherOptions()
    {
        return {.table = m_options.table,
                .onSnapshot =
                    [this](const std::vector<StoredRow> &rows) {
                        m_known = true;
                        m_follower.applyTable(rows, steadyNow());
                        m_versions.notifyListRead();
                        m_options.onListRead();
                    },
                .onChange =
                    [this](const StoredRow &row) {
                        m_follower.applyChange(row, steadyNow());
                        askAboutMissing();
                    },
                .onAnswer =
                    [this] {
                        m_balancer.continuity().recordListAnswer(steadyNow());
                    },
                .onReachable =
                    [this](bool reachable) {
                        m_balancer.setStoreReachable(reachable, steadyNow());
                        askAboutMissing();
                    },
                .onGeneration =
                    [this](StorePosition first) {
                        m_follower.beginGeneration(first, steadyNow());
                    },
                .isUrgent =
                    [this] {
                        return m_balancer.hasMissing();
                    }};
    }

    typename VersionRegistry<Store>::Options versionOptions()
    {
        return {.view =
                    [this] {
                        return typename VersionRegistry<Store>::View{.followedSince = m_balancer.followedSince(),
                                                                     .versions = m_balancer.listedVersions()};
                    },
                .onRow =
                    [this](const std::string &service, const VersionRow &row, StoreTimeMs storeTime) {
                        const Instant now = steadyNow();
                        const auto instant = [now, storeTime](StoreTimeMs at) {
                            return now - std::chrono::milliseconds(std::max<StoreTimeMs>(storeTime - at, 0));
                        };
                        std::map<std::string, Instant> former;
                        for (const auto &[version, goneAt] : row.versions) {
                            former.emplace(version, instant(goneAt.value_or(storeTime)));
                        }
                        m_balancer.addFormerVersions(service, former, instant(row.since));
                    },
                .firstStart = m_options.firstStart,
                .delay = Duration(static_cast<Duration::rep>(stableHash(m_options.incarnation) % s_maxVersionDelay.count()))};
    }

    void askAboutMissing()
    {
        if (m_client != nullptr && m_balancer.hasMissing() && !std::exchange(m_asking, true)) {
            boost::asio::co_spawn(m_executor, askPeers(), boost::asio::detached);
        }
    }

    /// Asks other routers until it is known what the missing entries mean.
    boost::asio::awaitable<void> askPeers()
    {
        while (m_balancer.continuity().storeReachable() && m_balancer.hasMissing()) {
            std::vector<std::string> peers = m_options.peers();
            std::shuffle(peers.begin(), peers.end(), m_random);
            peers.resize(std::min(peers.size(), m_options.peersAsked));
            for (const std::string &peer : peers) {
                m_client->queryList(peer);
            }
            co_await pause(m_options.questionInterval);
        }
        m_asking = false;
    }

    boost::asio::any_io_executor m_executor;
    TargetBalancer &m_balancer;
    RelaySelector &m_relaySelector;
    Options m_options;
    TargetFollower m_follower;
    VersionRegistry<Store> m_versions;
    TableWatcher<Store> m_watcher;
    LoadClient *m_client = nullptr;
    std::mt19937 m_random;
    bool m_known = false;
    bool m_asking = false;
};

}
