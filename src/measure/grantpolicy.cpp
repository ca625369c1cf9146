#include "measure/grantpolicy.h"

#include "budget/budgetrows.h"

#include <absl/strings/str_cat.h>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace bamboohold {

namespace {

constexpr Duration s_tick = std::chrono::milliseconds(10);
constexpr int s_silencesUntilLost = 2;
constexpr std::int64_t s_recallBytes = 40;
const std::string s_target = "target";

}

GrantPolicy::GrantPolicy(Simulation &simulation, Options options)
    : m_simulation(simulation)
    , m_options(options)
    , m_witness({.incarnation = "target~1", .limit = UINT32_MAX})
{
    m_witness.setKnownRouters({}, {});
    for (const TeamLoad &team : simulation.scenario().teams) {
        (void)m_table.transact({.operations = {putRow(budgetKey(team.budget), newBudgetFields(team.prepaid), 0)}});
    }
    m_routers.resize(simulation.scenario().routers);
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        start(index);
        tick(index);
    }
    m_writesAtStart = m_table.writes();
}

const std::string &GrantPolicy::budgetOf(std::size_t team) const
{
    return m_simulation.scenario().teams[team].budget;
}

void GrantPolicy::start(std::size_t index)
{
    Router &router = m_routers[index];
    router = Router{.incarnation = absl::StrCat("router-", index, "~", m_nextIncarnation++)};
    router.ledger =
        std::make_unique<NodeLedger>(NodeLedger::Options{.identity = {.incarnation = router.incarnation}, .policy = m_options.account});
}

FleetView GrantPolicy::view(const Router &router) const
{
    const auto alive = std::count_if(m_routers.begin(), m_routers.end(), [](const Router &other) {
        return !other.dead;
    });
    return {.routers = static_cast<std::size_t>(alive), .tableReachable = router.reachable};
}

bool GrantPolicy::reaches(const Router &router, Duration &latency) const
{
    latency = m_simulation.scenario().tableLatency;
    if (m_tableDown) {
        return false;
    }
    if (!router.cut) {
        return true;
    }
    const bool helped = std::any_of(m_routers.begin(), m_routers.end(), [](const Router &other) {
        return !other.cut && !other.dead;
    });
    latency += 2 * m_simulation.scenario().peerLatency;
    return m_options.relays && m_simulation.scenario().peersReachable && helped;
}

void GrantPolicy::tick(std::size_t index)
{
    Router &router = m_routers[index];
    if (!router.dead) {
        for (const std::string &name : router.ledger->activeBudgets()) {
            BudgetAccount &account = router.ledger->account(name);
            account.expireRecall(m_simulation.now());
            deliver(index, account);
        }
        const bool urgent = router.ledger->needsUrgentFlush(m_simulation.now()) || !router.ledger->registered();
        const Duration interval = urgent ? m_options.urgentInterval : m_options.flushInterval;
        if (!router.flushing && m_simulation.now() - router.lastFlush >= interval) {
            flush(index);
        }
    }
    m_simulation.after(s_tick, [this, index] {
        tick(index);
    });
}

void GrantPolicy::flush(std::size_t index)
{
    Router &router = m_routers[index];
    router.flushing = true;
    router.lastFlush = m_simulation.now();
    Duration latency{};
    const std::string incarnation = router.incarnation;
    if (!reaches(router, latency)) {
        m_simulation.after(m_options.tableTimeout, [this, index, incarnation] {
            if (m_routers[index].incarnation == incarnation) {
                silent(index);
            }
        });
        return;
    }
    std::map<std::string, BudgetRow, std::less<>> rows;
    for (const std::string &budget : router.ledger->budgetsToRead(view(router), m_simulation.now())) {
        rows.emplace(budget, parseBudgetRow(*m_table.read(budgetKey(budget))));
    }
    router.reachable = true;
    auto plan = router.ledger->planFlush(rows, view(router), m_simulation.now());
    for (const auto &[budget, row] : rows) {
        deliver(index, router.ledger->account(budget));
    }
    m_simulation.after(latency, [this, index, incarnation, plan = std::move(plan)] {
        if (m_routers[index].incarnation == incarnation) {
            answered(index, plan);
        }
    });
}

void GrantPolicy::answered(std::size_t index, std::optional<FlushPlan> plan)
{
    Router &router = m_routers[index];
    router.flushing = false;
    router.silences = 0;
    if (!plan) {
        return;
    }
    m_controlBytes += boost::json::serialize(toJson(plan->transaction)).size();
    (void)m_table.putObject(plan->objectKey, plan->object);
    for (const Charge &charge : router.ledger->onFlushAnswered(*m_table.transact(plan->transaction), m_simulation.now())) {
        m_witness.forget(charge.requestId);
    }
    for (const BudgetUpdate &update : plan->budgetUpdates) {
        deliver(index, router.ledger->account(update.budget));
    }
}

void GrantPolicy::silent(std::size_t index)
{
    Router &router = m_routers[index];
    router.flushing = false;
    router.ledger->onFlushAnswerLost();
    if (++router.silences < s_silencesUntilLost) {
        return;
    }
    router.reachable = false;
    for (const std::string &name : router.ledger->activeBudgets()) {
        BudgetAccount &account = router.ledger->account(name);
        account.onTableUnreachable(m_simulation.now());
        deliver(index, account);
    }
}

void GrantPolicy::deliver(std::size_t index, BudgetAccount &account)
{
    Router &router = m_routers[index];
    for (const ReservationResult &outcome : account.takeResults()) {
        const auto found = router.waiting.find(outcome.requestId);
        if (found == router.waiting.end()) {
            continue;
        }
        const SimRequest request = found->second;
        router.waiting.erase(found);
        if (outcome.decision == ReservationResult::Decision::Admitted) {
            admit(index, request);
        } else {
            refuse(request, outcome.failure);
        }
    }
    if (account.takeRecallRequest(m_simulation.now())) {
        recallPeers(index, account.budget());
    }
}

void GrantPolicy::recallPeers(std::size_t index, const std::string &budget)
{
    const Duration latency = m_simulation.scenario().peerLatency;
    m_controlBytes += static_cast<std::uint64_t>(s_recallBytes) * (m_routers.size() - 1) * 2;
    for (std::size_t peer = 0; peer < m_routers.size(); ++peer) {
        const bool separated = !m_simulation.scenario().peersReachable && m_routers[peer].cut != m_routers[index].cut;
        if (peer == index || m_routers[peer].dead || separated) {
            continue;
        }
        m_simulation.after(latency, [this, index, peer, budget] {
            m_routers[peer].ledger->account(budget).onPeerRecall(m_routers[index].incarnation < m_routers[peer].incarnation,
                                                                 m_simulation.now());
        });
    }
}

void GrantPolicy::admit(std::size_t payer, const SimRequest &request)
{
    Router &router = m_routers[payer];
    (void)m_witness.admit({.requestId = request.id,
                           .router = router.incarnation,
                           .targetIncarnation = "target~1",
                           .budget = budgetOf(request.team),
                           .bound = request.bound,
                           .earliestFlush = router.ledger->nextFlush(),
                           .expiresIn = std::chrono::seconds(1)},
                          m_simulation.now());
    m_homes[request.id] = {payer, router.incarnation};
    m_simulation.admitted(request);
}

void GrantPolicy::refuse(const SimRequest &request, const Failure &failure)
{
    if (m_options.sponsors && failure.kind == FailureKind::BudgetUnreachable) {
        askSponsor(request, 0);
        return;
    }
    m_simulation.refused(request);
}

void GrantPolicy::askSponsor(const SimRequest &request, std::size_t asked)
{
    if (asked == m_routers.size()) {
        m_simulation.refused(request);
        return;
    }
    const std::size_t peer = (request.router + asked) % m_routers.size();
    const bool separated = !m_simulation.scenario().peersReachable && m_routers[peer].cut != m_routers[request.router].cut;
    if (peer == request.router || separated) {
        askSponsor(request, asked + 1);
        return;
    }
    m_controlBytes += 2 * s_recallBytes;
    m_simulation.after(2 * m_simulation.scenario().peerLatency, [this, request, asked, peer] {
        if (m_routers[peer].ledger->account(budgetOf(request.team)).reserveForPeer(request.id, request.bound)) {
            admit(peer, request);
        } else {
            askSponsor(request, asked + 1);
        }
    });
}

void GrantPolicy::arrive(const SimRequest &request)
{
    Router &router = m_routers[request.router];
    BudgetAccount &account = router.ledger->account(budgetOf(request.team));
    const auto outcome = account.reserve(request.id, request.bound, view(router), m_simulation.now());
    router.waiting.emplace(request.id, request);
    switch (outcome.decision) {
    case ReservationResult::Decision::Waiting:
        return;
    case ReservationResult::Decision::Admitted:
        router.waiting.erase(request.id);
        admit(request.router, request);
        return;
    case ReservationResult::Decision::Refused:
        router.waiting.erase(request.id);
        refuse(request, outcome.failure);
        return;
    }
}

void GrantPolicy::finish(const SimRequest &request)
{
    m_witness.finish(request.id, RunEnd::Complete, TokenUsage{.output = request.use});
    const auto [index, incarnation] = m_homes.at(request.id);
    m_homes.erase(request.id);
    Router &router = m_routers[index];
    if (router.incarnation != incarnation) {
        return;
    }
    BudgetAccount &account = router.ledger->account(budgetOf(request.team));
    const Tokens charged = account.settle(request.id, request.use, m_simulation.now());
    router.ledger->addCharge({.requestId = request.id, .budget = account.budget(), .target = s_target, .tokens = charged});
    deliver(index, account);
}

void GrantPolicy::recover(const std::string &incarnation)
{
    Reclamation reclamation({.incarnation = incarnation, .reclaimer = "peer", .targets = {s_target}}, *m_table.read(nodeKey(incarnation)));
    reclamation.onSidecarAnswer({.target = s_target});
    reclamation.probeEnded();
    reclamation.onDeclared(*m_table.transact(reclamation.declaration()));
    reclamation.onSidecarAnswer({.target = s_target, .epoch = reclamation.epoch(), .verdict = m_witness.seal(incarnation)});
    if (reclamation.phase() != Reclamation::Phase::Closing) {
        // Runs still going: ask again.
        m_simulation.after(std::chrono::milliseconds(500), [this, incarnation] {
            recover(incarnation);
        });
        return;
    }
    reclamation.setBilledRequests({});
    reclamation.setGrants(*m_table.scan(absl::StrCat("grant/", incarnation, "/")));
    while (reclamation.phase() == Reclamation::Phase::Closing) {
        const ClosingStep step = reclamation.nextClosingStep();
        reclamation.onClosed(step, *m_table.transact(step.transaction));
    }
}

void GrantPolicy::happen(const ScenarioEvent &event)
{
    switch (event.kind) {
    case ScenarioEvent::Kind::TopUp:
        m_simulation.paid(event.index, event.amount);
        (void)m_table.transact({.operations = topUpOperations(budgetOf(event.index), event.amount)});
        break;
    case ScenarioEvent::Kind::CutRouter:
        m_routers[event.index].cut = true;
        break;
    case ScenarioEvent::Kind::HealRouter:
        m_routers[event.index].cut = false;
        break;
    case ScenarioEvent::Kind::TableDown:
        m_tableDown = true;
        break;
    case ScenarioEvent::Kind::TableUp:
        m_tableDown = false;
        break;
    case ScenarioEvent::Kind::CrashRouter: {
        const std::string incarnation = m_routers[event.index].incarnation;
        start(event.index);
        m_simulation.after(m_options.recoveryDelay, [this, incarnation] {
            recover(incarnation);
        });
        break;
    }
    case ScenarioEvent::Kind::MoveLoad:
        break;
    }
}

Tokens GrantPolicy::idle(std::size_t team) const
{
    Tokens idle = 0;
    for (const Router &router : m_routers) {
        const auto found = router.ledger->accounts().find(budgetOf(team));
        idle += found == router.ledger->accounts().end() ? 0 : std::max<Tokens>(0, found->second.available());
    }
    return idle;
}

void GrantPolicy::end()
{
    const double length = seconds(m_simulation.scenario().length);
    SimResult &result = m_simulation.result();
    result.tableWritesPerSecond = static_cast<double>(m_table.writes() - m_writesAtStart) / length;
    result.controlBytesPerSecondPerNode = static_cast<double>(m_controlBytes) / length / static_cast<double>(m_routers.size());
}

}
