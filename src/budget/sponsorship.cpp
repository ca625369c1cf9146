#include "budget/sponsorship.h"

#include "clock/steadytime.h"
#include "link/framecodec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bamboohold {

namespace {

constexpr Duration s_overduePollInterval = std::chrono::seconds(5);

std::int64_t inMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Outcome outcomeForRunEnd(RunEnd end)
{
    switch (end) {
    case RunEnd::Complete:
        return Outcome::Answered;
    case RunEnd::Unknown:
        return Outcome::Unknown;
    case RunEnd::NotRun:
        return Outcome::NotRun;
    case RunEnd::FailedAfterRunning:
    case RunEnd::Cancelled:
        break;
    }
    return Outcome::FailedAfterRunning;
}

RunEnd runEndForOutcome(Outcome outcome)
{
    return outcome == Outcome::Answered ? RunEnd::Complete : RunEnd::FailedAfterRunning;
}

}

/// A request sent to a peer. Shared by the coroutine that waits and by the map through which the answer is delivered to it.
struct Sponsorship::PendingQuery {
    explicit PendingQuery(const asio::any_io_executor &loop)
        : timer(loop)
    {
    }

    asio::steady_timer timer;
    std::string peer;
    std::optional<wire::SponsorAnswer> answer;
};

Sponsorship::Sponsorship(asio::any_io_executor loop, BudgetService &budgets, PeerSource peers, Options options)
    : m_loop(std::move(loop))
    , m_budgets(budgets)
    , m_peerSource(std::move(peers))
    , m_options(options)
{
}

void Sponsorship::setLink(LinkHub *link)
{
    m_link = link;
}

asio::awaitable<std::optional<Sponsorship::Sponsor>> Sponsorship::findSponsor(UnfundedRequest unfunded)
{
    const std::vector<std::string> peers = m_peerSource();
    for (const std::string &peer : peers) {
        auto sponsor = co_await askPeer(peer, unfunded);
        if (sponsor) {
            co_return sponsor;
        }
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<Sponsorship::Sponsor>> Sponsorship::askPeer(std::string peer, UnfundedRequest unfunded)
{
    auto query = std::make_shared<PendingQuery>(co_await asio::this_coro::executor);
    query->peer = peer;
    {
        const std::lock_guard lock(m_mutex);
        m_pendingQueries.insert_or_assign(unfunded.requestId, query);
    }
    wire::Envelope envelope;
    wire::SponsorRequest &request = *envelope.mutable_sponsor_request();
    request.set_request_id(unfunded.requestId);
    request.set_budget(unfunded.budget);
    request.set_team(unfunded.team);
    request.set_bound(unfunded.bound);
    request.set_over_in_ms(inMilliseconds(unfunded.endsWithin));
    query->timer.expires_after(m_options.answerTimeout);
    m_link->send(peer, envelope);
    co_await query->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    std::optional<Sponsor> sponsor;
    bool answered = false;
    {
        const std::lock_guard lock(m_mutex);
        m_pendingQueries.erase(unfunded.requestId);
        answered = query->answer.has_value();
        if (answered && query->answer->granted()) {
            sponsor = Sponsor{.payer = peer, .earliestFlush = query->answer->earliest_flush()};
        }
    }
    if (!answered) {
        // The peer may have reserved tokens although its answer did not arrive. Release them: this request will not run on its account.
        wire::Envelope release;
        release.mutable_sponsored_end()->set_request_id(unfunded.requestId);
        release.mutable_sponsored_end()->set_not_run(true);
        m_link->send(peer, release);
    }
    co_return sponsor;
}

void Sponsorship::onRequest(std::string_view peer, const wire::SponsorRequest &request)
{
    const auto earliestFlush = m_budgets.reserveForPeer(request.budget(), request.request_id(), request.bound());
    if (earliestFlush) {
        const Instant endsBy = steadyNow() + std::chrono::milliseconds(request.over_in_ms());
        const std::lock_guard lock(m_mutex);
        m_sponsoredRuns.insert_or_assign(
            request.request_id(),
            SponsoredRun{.budget = request.budget(), .team = request.team(), .bound = request.bound(), .endsBy = endsBy});
    }
    wire::Envelope envelope;
    envelope.mutable_sponsor_answer()->set_request_id(request.request_id());
    envelope.mutable_sponsor_answer()->set_granted(earliestFlush.has_value());
    envelope.mutable_sponsor_answer()->set_earliest_flush(earliestFlush.value_or(0));
    m_link->send(peer, envelope);
}

void Sponsorship::onAnswer(std::string_view peer, const wire::SponsorAnswer &answer)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pendingQueries.find(answer.request_id());
    if (found == m_pendingQueries.end() || found->second->peer != peer) {
        return;
    }
    found->second->answer = answer;
    asio::post(found->second->timer.get_executor(), [query = found->second] {
        query->timer.cancel();
    });
}

std::optional<Sponsorship::SponsoredRun> Sponsorship::takeSponsoredRun(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_sponsoredRuns.find(requestId);
    if (found == m_sponsoredRuns.end()) {
        return std::nullopt;
    }
    SponsoredRun sponsored = std::move(found->second);
    m_sponsoredRuns.erase(found);
    return sponsored;
}

void Sponsorship::onEnd(const wire::SponsoredEnd &message)
{
    const auto sponsored = takeSponsoredRun(message.request_id());
    if (!sponsored) {
        return;
    }
    const AnswerFrame::End end = fromWire(message.end());
    Charge charge{.requestId = message.request_id(),
                  .team = sponsored->team,
                  .budget = sponsored->budget,
                  .target = message.target(),
                  .attempt = message.attempt(),
                  .outcome = message.not_run() ? Outcome::NotRun : outcomeForRunEnd(end.end),
                  .estimated = !message.not_run() && !end.usage,
                  .chargedAtMs = wallClockMs()};
    if (end.usage) {
        charge.promptTokens = end.usage->prompt;
        charge.outputTokens = end.usage->output;
    }
    m_budgets.settle(std::move(charge), message.not_run() ? 0 : end.charged);
}

void Sponsorship::reportEnd(std::string_view payer, std::string_view requestId, const RequestStateMachine &stateMachine)
{
    // Without a charge from the sidecar, this router knows nothing that the payer does not hear from the sidecar itself.
    const bool notRun = stateMachine.outcome() == Outcome::NotRun;
    if (!notRun && !stateMachine.charged()) {
        return;
    }
    wire::Envelope envelope;
    wire::SponsoredEnd &message = *envelope.mutable_sponsored_end();
    message.set_request_id(requestId.data(), requestId.size());
    message.set_target(stateMachine.target());
    message.set_attempt(stateMachine.attempt());
    message.set_not_run(notRun);
    const AnswerFrame::End end{
        .end = runEndForOutcome(stateMachine.outcome()), .usage = stateMachine.usage(), .charged = stateMachine.charged().value_or(0)};
    *message.mutable_end() = toWire(requestId, {.content = end}).end();
    m_link->send(payer, envelope);
}

asio::awaitable<void> Sponsorship::settleOverdueRuns()
{
    asio::steady_timer timer(m_loop);
    while (true) {
        timer.expires_after(s_overduePollInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        std::vector<std::string> overdue;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &[requestId, sponsored] : m_sponsoredRuns) {
                if (steadyNow() >= sponsored.endsBy + m_options.endReportGrace) {
                    overdue.push_back(requestId);
                }
            }
        }
        for (const std::string &requestId : overdue) {
            if (const auto sponsored = takeSponsoredRun(requestId)) {
                Charge charge{.requestId = requestId, .team = sponsored->team, .budget = sponsored->budget, .outcome = Outcome::Unknown};
                charge.estimated = true;
                charge.chargedAtMs = wallClockMs();
                m_budgets.settle(std::move(charge), sponsored->bound);
            }
        }
    }
}

}
