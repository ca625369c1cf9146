#include "fakefleet.h"

#include "budget/budgetrows.h"
#include "budget/ledgerpage.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bamboohold {

namespace {

constexpr int s_maxSealingSteps = 3;

}

FakeFleet::FakeFleet(Options options)
    : m_options(std::move(options))
    , m_now(std::chrono::hours(1))
{
    for (std::size_t budget = 0; budget < m_options.prepaid.size(); ++budget) {
        m_prepaid[budgetName(budget)] = m_options.prepaid[budget];
        (void)m_table.transact({.operations = {putRow(budgetKey(budgetName(budget)), newBudgetFields(m_options.prepaid[budget]), 0)}});
    }
    m_sidecars.resize(m_options.targets);
    for (std::size_t target = 0; target < m_options.targets; ++target) {
        startSidecar(target);
    }
    m_routers.resize(m_options.routers);
    for (std::size_t router = 0; router < m_options.routers; ++router) {
        startRouter(router);
        flush(router, Delivery::Answered);
    }
}

std::vector<TableRow> FakeFleet::rowsWithPrefix(std::string_view prefix) const
{
    return m_table.scan(prefix).value();
}

std::string FakeFleet::budgetName(std::size_t budget) const
{
    return absl::StrCat("budget-", budget % m_options.prepaid.size());
}

std::string FakeFleet::targetName(std::size_t target) const
{
    return absl::StrCat("target-", target % m_options.targets);
}

void FakeFleet::startRouter(std::size_t slot)
{
    RouterProcess router{.incarnation = absl::StrCat("router-", slot, "~", m_nextId++)};
    router.ledger =
        std::make_unique<NodeLedger>(NodeLedger::Options{.identity = {.incarnation = router.incarnation}, .policy = m_options.policy});
    m_routers[slot] = std::move(router);
}

void FakeFleet::startSidecar(std::size_t target)
{
    std::vector<std::string> live;
    std::vector<std::string> dead;
    for (const TableRow &row : rowsWithPrefix(s_nodePrefix)) {
        (textField(row.fields, "state") == "live" ? live : dead).push_back(row.key.substr(s_nodePrefix.size()));
    }
    Sidecar &sidecar = m_sidecars[target];
    sidecar.incarnation = absl::StrCat(targetName(target), "~", m_nextId++);
    sidecar.table = std::make_unique<RunTable>(RunTable::Options{.incarnation = sidecar.incarnation, .limit = 1000});
    sidecar.table->setKnownRouters(live, dead);
}

FakeFleet::RouterProcess *FakeFleet::findRouter(const std::string &incarnation)
{
    const auto found = std::find_if(m_routers.begin(), m_routers.end(), [&incarnation](const RouterProcess &router) {
        return router.incarnation == incarnation;
    });
    return found == m_routers.end() || found->state == RouterState::Dead ? nullptr : &*found;
}

void FakeFleet::submitRequest(std::size_t router, std::size_t budget, Tokens bound, Tokens actualTokens, std::size_t target)
{
    RouterProcess &process = m_routers[router % m_routers.size()];
    if (process.state != RouterState::Running || process.ledger->fenced()) {
        return;
    }
    const SubmittedRequest submitted{.requestId = absl::StrCat("request-", m_nextId++),
                                     .budget = budgetName(budget),
                                     .bound = bound,
                                     .actualTokens = actualTokens,
                                     .target = target};
    const auto result = process.ledger->account(submitted.budget).reserve(submitted.requestId, bound, {.routers = m_routers.size()}, m_now);
    if (result.decision == ReservationResult::Decision::Admitted) {
        dispatch(process, process, submitted);
    } else if (result.decision == ReservationResult::Decision::Waiting) {
        process.waiting.emplace(submitted.requestId, submitted);
    }
}

void FakeFleet::submitSponsoredRequest(
    std::size_t receiver, std::size_t payer, std::size_t budget, Tokens bound, Tokens actualTokens, std::size_t target)
{
    RouterProcess &receivingRouter = m_routers[receiver % m_routers.size()];
    RouterProcess &payingRouter = m_routers[payer % m_routers.size()];
    const bool able =
        receivingRouter.state == RouterState::Running && payingRouter.state == RouterState::Running && !payingRouter.ledger->fenced();
    const SubmittedRequest submitted{.requestId = absl::StrCat("request-", m_nextId++),
                                     .budget = budgetName(budget),
                                     .bound = bound,
                                     .actualTokens = actualTokens,
                                     .target = target};
    if (able && payingRouter.ledger->account(submitted.budget).reserveForPeer(submitted.requestId, bound)) {
        dispatch(receivingRouter, payingRouter, submitted);
    }
}

void FakeFleet::dispatch(RouterProcess &receiver, RouterProcess &payer, const SubmittedRequest &submitted)
{
    ++m_admitted;
    Sidecar &sidecar = m_sidecars[submitted.target % m_options.targets];
    const auto refusal = sidecar.table->admit({.requestId = submitted.requestId,
                                               .attempt = 1,
                                               .router = receiver.incarnation,
                                               .payer = payer.incarnation,
                                               .targetIncarnation = sidecar.incarnation,
                                               .team = "team",
                                               .budget = submitted.budget,
                                               .bound = submitted.bound,
                                               .earliestFlush = payer.ledger->nextFlush(),
                                               .expiresIn = std::chrono::seconds(1)},
                                              m_now);
    if (refusal) {
        payer.ledger->account(submitted.budget).settle(submitted.requestId, 0, m_now);
        processResults(payer);
        return;
    }
    m_runs.push_back({.requestId = submitted.requestId,
                      .router = payer.incarnation,
                      .budget = submitted.budget,
                      .target = submitted.target % m_options.targets,
                      .sidecar = sidecar.incarnation,
                      .bound = submitted.bound,
                      .actualTokens = std::min(submitted.actualTokens, submitted.bound)});
}

void FakeFleet::processResults(RouterProcess &router)
{
    for (const auto &[name, ignored] : router.ledger->accounts()) {
        for (const ReservationResult &result : router.ledger->account(name).takeResults()) {
            const auto found = router.waiting.find(result.requestId);
            if (found == router.waiting.end()) {
                continue;
            }
            const SubmittedRequest submitted = found->second;
            router.waiting.erase(found);
            if (result.decision == ReservationResult::Decision::Admitted) {
                dispatch(router, router, submitted);
            }
        }
    }
}

void FakeFleet::settleCharge(RouterProcess &router, const Charge &charge, Tokens charged)
{
    Charge line = charge;
    line.tokens = router.ledger->account(charge.budget).settle(charge.requestId, charged, m_now);
    router.ledger->addCharge(std::move(line));
    processResults(router);
}

void FakeFleet::deliverRunEnd(const Run &run, Tokens charged, bool reported)
{
    RouterProcess *router = findRouter(run.router);
    if (router == nullptr) {
        return;
    }
    const Charge charge{
        .requestId = run.requestId, .team = "team", .budget = run.budget, .target = targetName(run.target), .estimated = !reported};
    if (router->state == RouterState::Paused) {
        router->inbox.emplace_back(charge, charged);
        return;
    }
    settleCharge(*router, charge, charged);
}

void FakeFleet::finishRun(std::size_t index, bool reported)
{
    std::vector<Run *> running;
    for (Run &run : m_runs) {
        if (run.running) {
            running.push_back(&run);
        }
    }
    if (running.empty()) {
        return;
    }
    Run &run = *running[index % running.size()];
    run.running = false;
    const std::optional<TokenUsage> usage = reported ? std::optional(TokenUsage{.prompt = 0, .output = run.actualTokens}) : std::nullopt;
    const Tokens charged = m_sidecars[run.target].table->finish(run.requestId, RunEnd::Complete, usage);
    deliverRunEnd(run, charged, reported);
}

std::map<std::string, BudgetRow, std::less<>> FakeFleet::readRows(const std::vector<std::string> &budgets)
{
    std::map<std::string, BudgetRow, std::less<>> rows;
    for (const std::string &budget : budgets) {
        rows.emplace(budget, parseBudgetRow(*m_table.read(budgetKey(budget))));
    }
    return rows;
}

absl::StatusOr<TableTransactionResult> FakeFleet::send(const TableTransaction &transaction, Delivery delivery)
{
    const absl::Status lost = failed(FailureKind::TableUnreachable, "lost", Executed::Unknown);
    switch (delivery) {
    case Delivery::RequestLost:
        return lost;
    case Delivery::Delayed:
        m_delayed.push_back(transaction);
        return lost;
    case Delivery::AnswerLost:
        (void)m_table.transact(transaction);
        return lost;
    case Delivery::Answered:
        break;
    }
    return m_table.transact(transaction);
}

void FakeFleet::flush(std::size_t router, Delivery delivery)
{
    RouterProcess &process = m_routers[router % m_routers.size()];
    if (process.state != RouterState::Running) {
        return;
    }
    if (process.ledger->fenced()) {
        kill(router);
        return;
    }
    NodeLedger &ledger = *process.ledger;
    const FleetView fleet{.routers = m_routers.size()};
    const auto plan = ledger.planFlush(readRows(ledger.budgetsToRead(fleet, m_now)), fleet, m_now);
    processResults(process);
    if (!plan) {
        return;
    }
    if (!plan->objectKey.empty()) {
        (void)m_table.putObject(plan->objectKey, plan->object);
    }
    const auto verdict = send(plan->transaction, delivery);
    if (!verdict.ok()) {
        ledger.onFlushAnswerLost();
        return;
    }
    for (const Charge &charge : ledger.onFlushAnswered(*verdict, m_now)) {
        for (Sidecar &sidecar : m_sidecars) {
            sidecar.table->forget(charge.requestId);
        }
    }
    processResults(process);
}

void FakeFleet::deliverDelayed()
{
    if (!m_delayed.empty()) {
        (void)m_table.transact(m_delayed.front());
        m_delayed.pop_front();
    }
}

void FakeFleet::topUp(std::size_t budget, Tokens amount)
{
    const auto verdict = m_table.transact({.operations = topUpOperations(budgetName(budget), amount)});
    if (verdict->applied) {
        m_prepaid[budgetName(budget)] += amount;
    }
}

void FakeFleet::recall(std::size_t router, std::size_t budget)
{
    RouterProcess &process = m_routers[router % m_routers.size()];
    if (process.state == RouterState::Running) {
        process.ledger->account(budgetName(budget)).onPeerRecall(true, m_now);
    }
}

void FakeFleet::kill(std::size_t router)
{
    const std::size_t slot = router % m_routers.size();
    m_routers[slot].waiting.clear();
    m_routers[slot].state = RouterState::Dead;
    m_killedRouters.push_back(std::move(m_routers[slot]));
    startRouter(slot);
}

void FakeFleet::pause(std::size_t router)
{
    m_routers[router % m_routers.size()].state = RouterState::Paused;
}

void FakeFleet::resume(std::size_t router)
{
    RouterProcess &process = m_routers[router % m_routers.size()];
    process.state = RouterState::Running;
    while (!process.inbox.empty()) {
        settleCharge(process, process.inbox.front().first, process.inbox.front().second);
        process.inbox.pop_front();
    }
}

void FakeFleet::replaceSidecar(std::size_t target)
{
    const std::size_t slot = target % m_options.targets;
    for (Run &run : m_runs) {
        if (run.target != slot || run.sidecar != m_sidecars[slot].incarnation) {
            continue;
        }
        run.sidecarLost = true;
        if (run.running) {
            // The router loses its connection and charges the worst case.
            run.running = false;
            deliverRunEnd(run, run.bound, false);
        }
    }
    startSidecar(slot);
}

void FakeFleet::setSidecarCut(std::size_t target, bool cut)
{
    m_sidecars[target % m_options.targets].cut = cut;
}

void FakeFleet::advanceTime(Duration duration)
{
    m_now += duration;
}

void FakeFleet::querySidecars()
{
    const std::uint64_t epoch = m_reclamation->epoch();
    for (std::size_t target = 0; target < m_sidecars.size(); ++target) {
        Sidecar &sidecar = m_sidecars[target];
        if (sidecar.cut) {
            continue;
        }
        const SealResult verdict =
            epoch == 0 ? sidecar.table->probe(m_reclaimedIncarnation, m_now) : sidecar.table->seal(m_reclaimedIncarnation);
        m_reclamation->onSidecarAnswer({.target = targetName(target), .epoch = epoch, .verdict = verdict});
    }
}

void FakeFleet::closeStep(Delivery delivery)
{
    const TableRow row = *m_table.read(nodeKey(m_reclaimedIncarnation));
    absl::flat_hash_set<std::string> billed;
    for (std::string key = textField(row.fields, "ledger"); !key.empty();) {
        const auto page = parseLedgerPage(*m_table.readObject(key));
        for (const Charge &charge : page->charges) {
            billed.insert(charge.requestId);
        }
        key = page->previous;
    }
    m_reclamation->setBilledRequests(std::move(billed));
    m_reclamation->setGrants(*m_table.scan(absl::StrCat("grant/", m_reclaimedIncarnation, "/")));
    const ClosingStep step = m_reclamation->nextClosingStep();
    if (!step.objectKey.empty()) {
        (void)m_table.putObject(step.objectKey, step.object);
    }
    const auto verdict = send(step.transaction, delivery);
    m_reclamation->onClosed(step, verdict.ok() ? *verdict : TableTransactionResult{});
}

void FakeFleet::reclaimStep(std::size_t reclaimer, Delivery delivery)
{
    if (m_reclamation == nullptr) {
        for (const TableRow &row : rowsWithPrefix(s_nodePrefix)) {
            const std::string incarnation = row.key.substr(s_nodePrefix.size());
            RouterProcess *router = findRouter(incarnation);
            const bool silent = router == nullptr || router->state == RouterState::Paused;
            if (!silent || textField(row.fields, "state") == "closed") {
                continue;
            }
            if (incarnation <= m_reclaimedIncarnation) {
                continue;
            }
            m_reclaimedIncarnation = incarnation;
            m_sealingSteps = 0;
            std::vector<std::string> targets;
            for (std::size_t target = 0; target < m_options.targets; ++target) {
                targets.push_back(targetName(target));
            }
            m_reclamation =
                std::make_unique<Reclamation>(Reclamation::Options{.incarnation = incarnation,
                                                                   .reclaimer = absl::StrCat("router-", reclaimer, "-", m_nextId++),
                                                                   .targets = targets,
                                                                   .grantsPerStep = 1},
                                              row);
            break;
        }
    }
    if (m_reclamation == nullptr) {
        m_reclaimedIncarnation.clear();
        return;
    }
    switch (m_reclamation->phase()) {
    case Reclamation::Phase::Probing:
        advanceTime(std::chrono::seconds(6));
        querySidecars();
        m_reclamation->probeEnded();
        break;
    case Reclamation::Phase::Declaring: {
        const auto verdict = send(m_reclamation->declaration(), delivery);
        m_reclamation->onDeclared(verdict.ok() ? *verdict : TableTransactionResult{});
        break;
    }
    case Reclamation::Phase::Sealing:
        querySidecars();
        // A router whose sidecars do not answer must not block the recovery of the others.
        if (m_reclamation->phase() == Reclamation::Phase::Sealing && ++m_sealingSteps >= s_maxSealingSteps) {
            m_reclamation.reset();
        }
        break;
    case Reclamation::Phase::Closing:
        closeStep(delivery);
        break;
    case Reclamation::Phase::Closed:
    case Reclamation::Phase::Abandoned:
        m_reclamation.reset();
        break;
    }
}

void FakeFleet::runToCompletion()
{
    constexpr int s_maxRounds = 200;
    for (std::size_t target = 0; target < m_options.targets; ++target) {
        setSidecarCut(target, false);
    }
    for (std::size_t router = 0; router < m_routers.size(); ++router) {
        resume(router);
    }
    while (!m_delayed.empty()) {
        deliverDelayed();
    }
    m_reclamation.reset();
    for (int round = 0; round < s_maxRounds; ++round) {
        for (std::size_t left = m_runs.size(); left > 0; --left) {
            finishRun(0, true);
        }
        for (std::size_t router = 0; router < m_routers.size(); ++router) {
            flush(router, Delivery::Answered);
        }
        for (std::size_t target = 0; target < m_options.targets; ++target) {
            for (const RouterProcess &router : m_routers) {
                if (router.ledger->idle() && !router.ledger->fenced()) {
                    m_sidecars[target].table->clearEarlierRuns(router.incarnation);
                }
            }
        }
        reclaimStep(0, Delivery::Answered);
    }
}

std::vector<Charge> FakeFleet::ledgerCharges() const
{
    std::vector<Charge> lines;
    for (const TableRow &node : rowsWithPrefix(s_nodePrefix)) {
        for (std::string key = textField(node.fields, "ledger"); !key.empty();) {
            const auto page = parseLedgerPage(*m_table.readObject(key));
            lines.insert(lines.end(), page->charges.begin(), page->charges.end());
            key = page->previous;
        }
    }
    return lines;
}

std::string FakeFleet::invariantViolation() const
{
    absl::flat_hash_map<std::string, Tokens> granted;
    absl::flat_hash_map<std::string, Tokens> billed;
    absl::flat_hash_map<std::string, Tokens> ran;
    absl::flat_hash_map<std::string, int> lines;
    for (const TableRow &grant : rowsWithPrefix(s_grantPrefix)) {
        granted[textField(grant.fields, "budget")] += integerField(grant.fields, "unspent");
    }
    for (const Charge &charge : ledgerCharges()) {
        billed[charge.budget] += charge.tokens;
        if (++lines[charge.requestId] > 1) {
            return absl::StrCat(charge.requestId, " is billed twice");
        }
    }
    for (const Run &run : m_runs) {
        ran[run.budget] += run.actualTokens;
    }
    for (const auto &[budget, prepaid] : m_prepaid) {
        const TableRow row = *m_table.read(budgetKey(budget));
        const Tokens free = integerField(row.fields, "free");
        const Tokens consumedTokens = integerField(row.fields, "consumed");
        if (free < 0 || free + integerField(row.fields, "granted") + consumedTokens != prepaid
            || integerField(row.fields, "prepaid") != prepaid) {
            return absl::StrCat(budget, ": free, granted and consumed tokens do not add up to the prepaid ones");
        }
        if (integerField(row.fields, "granted") != granted[budget]) {
            return absl::StrCat(budget, ": the grant rows do not add up to the granted tokens");
        }
        if (billed[budget] != consumedTokens) {
            return absl::StrCat(budget, ": billed in the ledger: ", billed[budget], ", consumed in the row: ", consumedTokens);
        }
        if (ran[budget] > prepaid) {
            return absl::StrCat(budget, " overspent: ", ran[budget], " of ", prepaid);
        }
    }
    return {};
}

std::string FakeFleet::billingViolation() const
{
    absl::flat_hash_map<std::string, Tokens> charged;
    for (const Charge &charge : ledgerCharges()) {
        charged[charge.requestId] = charge.tokens;
    }
    for (const Run &run : m_runs) {
        const auto found = charged.find(run.requestId);
        // If a sidecar was lost together with the router, the whole grant stays held and the row says so; none of it can be spent again.
        const bool held = textField((*m_table.read(nodeKey(run.router))).fields, "state") == "sealing";
        if (found == charged.end() && !held) {
            const TableRow node = *m_table.read(nodeKey(run.router));
            return absl::StrCat(run.requestId, " of ", run.router, " (", textField(node.fields, "state"), ") was never billed");
        }
        if (found != charged.end() && found->second < run.actualTokens) {
            return absl::StrCat(run.requestId, " was billed less than it used");
        }
    }
    return {};
}

Tokens FakeFleet::consumed(std::size_t budget) const
{
    return integerField((*m_table.read(budgetKey(budgetName(budget)))).fields, "consumed");
}

Tokens FakeFleet::free(std::size_t budget) const
{
    return integerField((*m_table.read(budgetKey(budgetName(budget)))).fields, "free");
}

std::size_t FakeFleet::closedIncarnations() const
{
    std::size_t closed = 0;
    for (const TableRow &node : rowsWithPrefix(s_nodePrefix)) {
        closed += textField(node.fields, "state") == "closed" ? 1 : 0;
    }
    return closed;
}

}
