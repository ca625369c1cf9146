#include "routing/loadlink.h"

#include "clock/steadytime.h"
#include "failure/failure.h"
#include "link/link.pb.h"
#include "net/endpoint.h"
#include "net/pause.h"
#include "operations/log.h"
#include "routing/loadmessages.h"
#include "routing/stablehash.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace bamboohold {

namespace {

namespace asio = boost::asio;

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);
/// The newest round trip's share in the mean is one in this many.
constexpr int s_roundTripWeight = 8;
/// Relays remembered at most; those of targets that are gone are forgotten together.
constexpr std::size_t s_mostRelays = 4096;
/// Beyond this, doubling rests makes no difference any more.
constexpr std::uint32_t s_maxDoublings = 8;

}

LoadLink::LoadLink(asio::any_io_executor executor, Options options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_router(stableHash(m_options.incarnation))
    , m_socket(m_executor)
{
}

void LoadLink::onAnswers(Heard heard, Silent silent)
{
    m_heard = std::move(heard);
    m_silent = std::move(silent);
}

absl::Status LoadLink::open()
{
    boost::system::error_code error;
    asio::ip::udp::endpoint own(asio::ip::udp::v4(), 0);
    if (!m_options.address.empty()) {
        own.address(asio::ip::make_address(m_options.address, error));
    }
    if (!error) {
        m_socket.open(own.protocol(), error);
    }
    if (!error) {
        m_socket.bind(own, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        return failed(FailureKind::InvalidSetting, absl::StrCat("loads cannot be asked for: ", error.message()));
    }
    asio::co_spawn(m_executor, receive(), asio::detached);
    return absl::OkStatus();
}

LoadLink::Relay *LoadLink::relay(const std::string &address)
{
    const auto known = m_relays.find(address);
    if (known != m_relays.end()) {
        return &known->second;
    }
    const auto endpoint = endpointFrom(address);
    if (!endpoint || !m_socket.is_open()) {
        return nullptr;
    }
    if (m_relays.size() >= s_mostRelays) {
        m_relays.clear();
    }
    return &m_relays.emplace(address, Relay{.endpoint = {endpoint->address(), endpoint->port()}}).first->second;
}

std::uint64_t LoadLink::send(Relay &relay, const LoadNotice &notice, Wanted wanted)
{
    wire::LoadNote note;
    note.set_router(m_router);
    note.set_target(stableHash(notice.incarnation));
    note.set_sequence(++m_sequence);
    note.set_outstanding(notice.load.outstanding);
    note.set_unread(notice.load.unread);
    note.set_asks(wanted.answer);
    note.set_admissions_per_second(wanted.rates.cold);
    note.set_limited_per_second(wanted.rates.limit);
    if (notice.heardLimit) {
        note.set_heard_limit(*notice.heardLimit);
    }
    const std::string text = note.SerializeAsString();
    // What cannot be sent at once is lost like any datagram: the next one has the whole state again.
    boost::system::error_code lost;
    m_socket.send_to(asio::buffer(text), relay.endpoint, 0, lost);
    m_sentAt[m_sequence % s_sentKept] = steadyNow();
    return m_sequence;
}

std::optional<Duration> LoadLink::takeShortestRoundTrip()
{
    return std::exchange(m_shortest, std::nullopt);
}

bool LoadLink::answers(const std::string &relay) const
{
    const auto known = m_relays.find(relay);
    return known != m_relays.end() && known->second.everAnswered;
}

void LoadLink::tell(const LoadNotice &notice)
{
    Relay *known = notice.relay.empty() ? nullptr : relay(notice.relay);
    if (known != nullptr && known->everAnswered) {
        send(*known, notice, {});
    }
}

Duration LoadLink::patience() const
{
    return std::clamp(m_options.roundTrips * m_roundTrip, m_options.leastWait, m_options.mostWait);
}

asio::awaitable<void> LoadLink::ask(std::span<const LoadNotice> notices)
{
    const Instant begun = steadyNow();
    const auto group = std::make_shared<Group>(m_executor);
    std::vector<std::uint64_t> asked;
    for (const LoadNotice &notice : notices) {
        Relay *known = notice.relay.empty() ? nullptr : relay(notice.relay);
        if (known == nullptr || begun < known->restsUntil) {
            continue;
        }
        asked.push_back(question(*known, notice, group, {.answer = true}));
    }
    if (!asked.empty()) {
        co_await awaitAnswers(group, std::move(asked));
    }
}

asio::awaitable<AdmissionAnswer> LoadLink::askAdmission(LoadNotice notice, AdmissionRates rates)
{
    Relay *known = notice.relay.empty() ? nullptr : relay(notice.relay);
    if (known == nullptr) {
        co_return AdmissionAnswer{};
    }
    const auto group = std::make_shared<Group>(m_executor);
    if (steadyNow() >= known->restsUntil) {
        std::vector<std::uint64_t> asked{question(*known, notice, group, {.answer = true, .rates = rates})};
        co_await awaitAnswers(group, std::move(asked));
    }
    if (group->admitted) {
        co_return AdmissionAnswer{.admission = *group->admitted ? Admission::Granted : Admission::Denied, .wait = group->wait};
    }
    // The table of relays may have been cleared while this waited.
    known = relay(notice.relay);
    co_return AdmissionAnswer{.admission = known != nullptr && known->everAnswered ? Admission::Unanswered : Admission::NoRelay};
}

std::uint64_t LoadLink::question(Relay &relay, const LoadNotice &notice, const std::shared_ptr<Group> &group, Wanted wanted)
{
    const std::uint64_t sequence = send(relay, notice, wanted);
    m_questions[sequence] = {.incarnation = notice.incarnation, .relay = notice.relay, .group = group, .sentAt = steadyNow()};
    ++group->open;
    return sequence;
}

asio::awaitable<void> LoadLink::awaitAnswers(std::shared_ptr<Group> group, std::vector<std::uint64_t> asked)
{
    group->done.expires_after(patience());
    co_await group->done.async_wait(s_tuple);
    const Instant now = steadyNow();
    for (const std::uint64_t sequence : asked) {
        const auto question = m_questions.find(sequence);
        if (question != m_questions.end()) {
            missed(question->second, now);
            m_questions.erase(question);
        }
    }
}

void LoadLink::missed(const Question &question, Instant now)
{
    Relay *known = relay(question.relay);
    if (known == nullptr) {
        return;
    }
    ++known->silences;
    if (known->everAnswered && m_silent) {
        m_silent(question.incarnation);
    }
    if (!known->everAnswered || known->silences >= m_options.silences) {
        const std::uint32_t doublings = std::min(known->silences - 1, s_maxDoublings);
        known->restsUntil = now + std::min(m_options.longestRest, m_options.firstRest * (std::int64_t{1} << doublings));
    }
}

asio::awaitable<void> LoadLink::receive()
{
    std::array<char, s_longestLoadMessage> message{};
    asio::ip::udp::endpoint from;
    while (m_socket.is_open()) {
        auto [error, size] = co_await m_socket.async_receive_from(asio::buffer(message), from, s_tuple);
        if (error) {
            co_await pause(s_loadFailurePause);
            continue;
        }
        answered(std::span<const char>(message).first(size));
    }
}

void LoadLink::answered(std::span<const char> message)
{
    wire::LoadAnswer answer;
    if (!answer.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
        return;
    }
    if (answer.sequence() <= m_sequence && m_sequence - answer.sequence() < s_sentKept) {
        const Duration took = steadyNow() - m_sentAt[answer.sequence() % s_sentKept];
        m_shortest = std::min(m_shortest.value_or(took), took);
    }
    const auto found = m_questions.find(answer.sequence());
    if (found == m_questions.end()) {
        // It came too late, and its target was chosen or not without it.
        return;
    }
    const Question question = std::move(found->second);
    m_questions.erase(found);
    m_roundTrip += (steadyNow() - question.sentAt - m_roundTrip) / s_roundTripWeight;
    if (Relay *known = relay(question.relay)) {
        known->everAnswered = true;
        known->silences = 0;
    }
    question.group->admitted = answer.admitted();
    question.group->wait = std::chrono::milliseconds(answer.wait_ms());
    TargetNews news{.others = {.outstanding = answer.outstanding(), .unread = answer.unread()}, .askedAt = question.sentAt};
    if (answer.has_limit()) {
        news.limit = answer.limit();
    }
    m_heard(question.incarnation, news);
    if (--question.group->open == 0) {
        question.group->done.cancel();
    }
}

}
