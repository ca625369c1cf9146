#pragma once

#include "gateway/routingplan.h"
#include "gateway/targetchooser.h"
#include "operations/metrics.h"
#include "overload/requestqueue.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohold {

/// Finds targets for requests, and lets requests wait while no target has capacity for them.
///
/// The runtime around RequestQueue. A request that waits is a suspended coroutine; in its turn it queries the relays and chooses a target
/// itself, so whatever ends it also gives its turn back. Lives on one event loop.
class QueueDispatcher
{
public:
    struct Options {
        bool enabled = true;
        RequestQueue::Options queue;
    };

    /// A request that seeks a target. Must outlive the call of place().
    struct Ticket {
        std::string service;
        /// The software version that a target must have; empty: any.
        std::string version;
        std::string team;
        std::string route;
        Urgency urgency;
        Tokens tokens = 0;
        std::size_t bytes = 0;
        Instant arrived{};
        Instant deadline{};
        Duration objective{};
        /// The shortest objective of the requests that are as urgent or more so; it limits the backlog that this one may add to.
        Duration strictestObjective = Duration::max();
        double coldPerSecond = 0;
        /// Its team, route or size is short of service; see RequestQueue::Entry.
        bool promised = false;
        /// The rank that the request has under a newer plan, or why a new request like it would be refused.
        std::function<absl::StatusOr<Urgency>(const RoutingPlan &)> reconsider;
        /// Whether the request would still end before the router stops, if it was sent now.
        std::function<bool(Instant now)> endsBeforeShutdown;
        std::function<bool()> callerLeft;
    };

    struct Result {
        /// None when the request is not to be sent; it then has not run.
        std::optional<Placement> placement;
        std::optional<QueueRefusal> refusal;
        /// Not OK when a newer plan does not allow the request any more.
        absl::Status denied;
        Duration queued{};
    };

    /// The balancer, the chooser and the metrics must outlive this object.
    QueueDispatcher(
        boost::asio::any_io_executor executor, TargetBalancer &balancer, TargetChooser &chooser, Metrics &metrics, Options options);

    /// Chooses a target for a request that was not sent to any target yet. Returns without a placement when the request is refused, when
    /// its caller has left, or when no target is in service.
    boost::asio::awaitable<Result> place(Ticket &ticket, PlacementRequest request);

    /// Wakes the request because its caller has left.
    void callerLeft(const Ticket &ticket);

    /// The first byte of the answer to a request with this many tokens arrived from the target, `elapsed` after the request was sent.
    void firstByteReceived(const std::string &service, Tokens tokens, const Placement &placement, Duration elapsed);

    /// One of this router's requests at the service has its first byte or has ended, so a target may have capacity again.
    void capacityMayHaveGrown(std::string_view service);

    /// Reorders and refuses waiting requests according to a newer plan.
    void applyPlan(const RoutingPlan &plan);

    /// Refuses the waiting requests that would not end before the router stops, from now on.
    void beginDrain();

private:
    struct Waiter {
        Ticket *ticket = nullptr;
        RequestQueue::Id id = 0;
        boost::asio::steady_timer timer;
        std::optional<RequestQueue::Attempt> turn;
        std::optional<QueueRefusal> refusal;
        absl::Status denied;
    };

    /// The queue of one service, and the attempts that are in progress.
    struct Service {
        RequestQueue queue;
        std::map<RequestQueue::Id, Waiter *> waiters;
        unsigned attempts = 0;
        Instant lastAttemptAt{};
    };

    /// Removes a request from its queue at the end of its wait, however it ends.
    class Registration;

    /// Whether requests wait for the service. Logs each change.
    bool active(const Ticket &ticket);
    /// What the request requires of its target when it arrives, or in its turn.
    CapacityRequirement requirement(const Ticket &ticket, const std::optional<RequestQueue::Attempt> &turn = std::nullopt) const;
    boost::asio::awaitable<Result> wait(Service &service, Ticket &ticket, PlacementRequest request);
    boost::asio::awaitable<std::optional<Placement>> attempt(Waiter &waiter, PlacementRequest request);
    /// Whether no target is in service, or none accepts requests before `waitUntil`.
    bool hopeless(const Ticket &ticket, Instant waitUntil) const;
    /// What has been decided about the request; none while it may wait on.
    std::optional<Result> decision(const Waiter &waiter, Instant waitUntil) const;
    /// Gives the next request in the order its turn; after a failed attempt, the next that may find capacity nevertheless.
    void startAttempt(Service &service, const std::optional<RequestQueue::Attempt> &failed = std::nullopt);
    static void refuse(Service &service, RequestQueue::Id id, QueueRefusal refusal);
    void refuseLate(Service &service);
    std::size_t bytesOutside(const Service &service) const;
    void countRefusal(const std::string &service, QueueRefusal refusal);
    void updateGauges(const std::string &name, const Service &service);
    /// Attempts dispatches regularly while something waits.
    boost::asio::awaitable<void> poll();

    boost::asio::any_io_executor m_executor;
    TargetBalancer &m_balancer;
    TargetChooser &m_chooser;
    Metrics &m_metrics;
    Options m_options;
    PrefillObservations m_observations;
    std::map<std::string, Service, std::less<>> m_services;
    /// Why a service is served without a queue, empty where it has one, as last logged.
    std::map<std::string, std::string, std::less<>> m_loggedReasons;
    RequestQueue::Id m_lastId = 0;
    bool m_polling = false;
    bool m_draining = false;
    Instant m_lateRefusedAt{};
};

}
