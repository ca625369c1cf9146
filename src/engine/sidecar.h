#pragma once

#include "daemon/settings.h"
#include "engine/runtable.h"
#include "link/linkhub.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/workerpool.h"
#include "operations/metrics.h"
#include "request/requeststatemachine.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <memory>
#include <mutex>
#include <string>

namespace bamboohold {

/// The daemon's sidecar role: runs next to one target and is the only process that calls its engine. It admits attempts through RunTable,
/// sends responses to routers as frames, limited by the credit that they grant, and reports the target's load.
///
/// Locks: m_mutex guards m_table, m_liveRuns, m_routersLastSeen and the state of the engine. It is never held across a wait, and no lock
/// other than that of Metrics is acquired while it is held.
class Sidecar
{
public:
    Sidecar(WorkerPool &pool, const Settings &settings);
    ~Sidecar();

    /// Opens the ports and starts sending load reports to routers. Returns an error if a port cannot be opened.
    absl::Status open();

    /// Refuses new attempts, waits until all runs have ended or Settings::drainTimeout has passed, and stops the worker pool.
    void drain();

    /// Logs the runs that have not ended. Called once the event loops have ended.
    void logStopped();

    /// Ends the exchange of messages with peers. Called once the event loops have ended, since a message may still refer to them.
    void closeLink();

private:
    struct LiveRun;

    void onMessage(std::string_view peer, wire::Envelope &message);
    void onDispatch(std::string_view peer, wire::Dispatch &dispatch);
    void onSeal(std::string_view peer, const wire::Seal &seal);
    void sendFrame(const LiveRun &run, AnswerFrame frame);
    void notifyPayer(const LiveRun &run, const AnswerFrame::End &end);
    void resendEnd(std::string_view peer, const std::string &requestId);
    void refuse(std::string_view peer, const wire::Dispatch &dispatch, RunRefusal reason);

    asio::awaitable<void> execute(std::shared_ptr<LiveRun> run);
    asio::awaitable<AnswerFrame::End> relayResponse(LiveRun &run, HttpStreamCall &call);
    asio::awaitable<void> waitForCredit(LiveRun &run);
    void cancel(const std::shared_ptr<LiveRun> &run);
    asio::awaitable<void> cancelAtEngine(std::shared_ptr<LiveRun> run);
    HttpCallOptions engineCallOptions(const LiveRun &run) const;
    asio::awaitable<void> loadKnownRouters();
    asio::awaitable<void> sendReports();
    asio::awaitable<void> pollEngine();
    asio::awaitable<void> drainLoop();
    asio::awaitable<void> handleOperations(HttpExchange &exchange);
    wire::Report makeReport();

    WorkerPool &m_pool;
    Settings m_settings;
    std::string m_incarnation;
    Metrics m_metrics;
    std::mutex m_mutex;
    RunTable m_table;
    absl::flat_hash_map<std::string, std::shared_ptr<LiveRun>> m_liveRuns;
    absl::flat_hash_map<std::string, Instant> m_routersLastSeen;
    std::vector<std::unique_ptr<HttpClient>> m_engineClients;
    /// Accessed only on the link's thread.
    std::size_t m_nextLoopIndex = 0;
    bool m_engineReachable = false;
    std::uint32_t m_engineWaiting = 0;
    std::unique_ptr<LinkHub> m_link;
    std::shared_ptr<ClientResources> m_clientResources;
    std::unique_ptr<HttpServer> m_operations;
};

}
