#include "routing/loadclient.h"

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
/// Divisor of the moving average: the newest round trip has a weight of one in this many.
constexpr int s_roundTripWeight = 8;
/// When this many relays are known, all are dropped, and with them those of targets that no longer exist.
constexpr std::size_t s_maxKnownRelays = 4096;
/// Keeps the backoff from overflowing; `Options::maxBackoff` is reached before.
constexpr std::uint32_t s_maxDoublings = 8;
/// A query about a stream that times out may cost its caller the stream, so it waits longer than one about a load.
constexpr Duration s_streamQueryTimeout = std::chrono::milliseconds(40);
/// Upper bound for the encoded sequence number.
constexpr std::size_t s_sequenceBytes = 12;

}

LoadClient::LoadClient(asio::any_io_executor executor, Options options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_router(stableHash(m_options.incarnation))
    , m_socket(m_executor)
{
}

void LoadClient::setCallbacks(AnswerCallback onAnswer, TimeoutCallback onTimeout)
{
    m_onAnswer = std::move(onAnswer);
    m_onTimeout = std::move(onTimeout);
}

absl::Status LoadClient::open()
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
        return failed(FailureKind::InvalidSetting, absl::StrCat("cannot open the UDP socket for load queries: ", error.message()));
    }
    asio::co_spawn(m_executor, receive(), asio::detached);
    return absl::OkStatus();
}

LoadClient::Relay *LoadClient::relay(const std::string &address)
{
    const auto known = m_relays.find(address);
    if (known != m_relays.end()) {
        return &known->second;
    }
    const auto endpoint = endpointFrom(address);
    if (!endpoint || !m_socket.is_open()) {
        return nullptr;
    }
    if (m_relays.size() >= s_maxKnownRelays) {
        m_relays.clear();
    }
    return &m_relays.emplace(address, Relay{.endpoint = {endpoint->address(), endpoint->port()}}).first->second;
}

std::uint64_t LoadClient::send(Relay &relay, const LoadNotice &notice, QueryOptions queryOptions)
{
    wire::LoadNote note;
    note.set_router(m_router);
    note.set_target(stableHash(notice.incarnation));
    note.set_outstanding(notice.load.outstanding);
    note.set_unread(notice.load.unread);
    note.set_asks(queryOptions.wantsAnswer);
    note.set_admissions_per_second(queryOptions.rates.cold);
    note.set_limited_per_second(queryOptions.rates.limit);
    if (notice.reportedLimit) {
        note.set_heard_limit(*notice.reportedLimit);
    }
    if (notice.speed) {
        note.set_speed_ratio(notice.speed->ratio);
        note.set_speed_answers(notice.speed->answers);
    }
    sendNote(relay, note);
    return m_sequence;
}

void LoadClient::sendNote(const Relay &relay, wire::LoadNote &note)
{
    note.set_sequence(++m_sequence);
    const std::string text = note.SerializeAsString();
    // A message that cannot be sent at once is dropped like a lost datagram: the next one carries the whole state again.
    boost::system::error_code sendError;
    m_socket.send_to(asio::buffer(text), relay.endpoint, 0, sendError);
    m_sendTimes[m_sequence % s_sendTimesKept] = steadyNow();
}

void LoadClient::reportStream(const std::string &address, std::uint64_t key, const StreamOrigin &origin)
{
    const Relay *known = relay(address);
    if (known == nullptr) {
        return;
    }
    wire::LoadNote note;
    wire::StreamNote &stream = *note.mutable_stream();
    stream.set_key(key);
    stream.set_service(origin.service);
    stream.set_version(origin.version);
    if (note.ByteSizeLong() + s_sequenceBytes > s_maxLoadMessageBytes) {
        logLine(Severity::Warning, "stream.origin_too_long", {{"service", origin.service}, {"version", origin.version}});
        return;
    }
    sendNote(*known, note);
}

void LoadClient::queryList(const std::string &address)
{
    if (const Relay *known = relay(address)) {
        wire::LoadNote note;
        note.set_asks(true);
        note.mutable_list();
        sendNote(*known, note);
    }
}

asio::awaitable<StreamQueryResult> LoadClient::queryStream(std::vector<std::string> addresses, std::uint64_t key)
{
    const auto group = std::make_shared<QueryGroup>(m_executor);
    std::vector<std::uint64_t> sequences;
    const Instant now = steadyNow();
    for (const std::string &address : addresses) {
        Relay *known = relay(address);
        if (known == nullptr) {
            continue;
        }
        ++group->stream.asked;
        group->stream.answeredBefore += known->everAnswered ? 1 : 0;
        if (now < known->backoffUntil) {
            continue;
        }
        wire::LoadNote note;
        note.set_asks(true);
        note.mutable_stream()->set_key(key);
        sendNote(*known, note);
        m_pendingQueries[m_sequence] = {.relay = address, .group = group, .sentAt = now, .aboutStream = true};
        ++group->pending;
        sequences.push_back(m_sequence);
    }
    if (!sequences.empty()) {
        co_await awaitAnswers(group, std::move(sequences), s_streamQueryTimeout);
    }
    co_return std::move(group->stream);
}

void LoadClient::addStreamAnswer(const wire::LoadAnswer &answer, StreamQueryResult &result)
{
    ++result.answered;
    const wire::StreamAnswer &stream = answer.stream();
    if (stream.known()) {
        result.origins.push_back({.origin = {.service = stream.service(), .version = stream.version()},
                                  .contradictory = stream.contradictory(),
                                  .age = std::chrono::milliseconds(stream.age_ms())});
    }
}

std::optional<Duration> LoadClient::takeShortestRoundTrip()
{
    return std::exchange(m_shortestRoundTrip, std::nullopt);
}

bool LoadClient::hasAnswered(const std::string &relay) const
{
    const auto known = m_relays.find(relay);
    return known != m_relays.end() && known->second.everAnswered;
}

void LoadClient::notifyRelay(const LoadNotice &notice)
{
    Relay *known = notice.relay.empty() ? nullptr : relay(notice.relay);
    if (known != nullptr && known->everAnswered) {
        send(*known, notice, {});
    }
}

Duration LoadClient::answerTimeout() const
{
    return std::clamp(m_options.timeoutRoundTrips * m_roundTrip, m_options.minTimeout, m_options.maxTimeout);
}

asio::awaitable<void> LoadClient::queryRelays(std::span<const LoadNotice> notices)
{
    const Instant startedAt = steadyNow();
    const auto group = std::make_shared<QueryGroup>(m_executor);
    std::vector<std::uint64_t> sequences;
    for (const LoadNotice &notice : notices) {
        Relay *known = notice.relay.empty() ? nullptr : relay(notice.relay);
        if (known == nullptr || startedAt < known->backoffUntil) {
            continue;
        }
        sequences.push_back(sendQuery(*known, notice, group, {.wantsAnswer = true}));
    }
    if (!sequences.empty()) {
        co_await awaitAnswers(group, std::move(sequences), answerTimeout());
    }
}

asio::awaitable<AdmissionAnswer> LoadClient::queryAdmission(LoadNotice notice, AdmissionRates rates)
{
    Relay *known = notice.relay.empty() ? nullptr : relay(notice.relay);
    if (known == nullptr) {
        co_return AdmissionAnswer{};
    }
    const auto group = std::make_shared<QueryGroup>(m_executor);
    if (steadyNow() >= known->backoffUntil) {
        std::vector<std::uint64_t> sequences{sendQuery(*known, notice, group, {.wantsAnswer = true, .rates = rates})};
        co_await awaitAnswers(group, std::move(sequences), answerTimeout());
    }
    if (group->admitted) {
        co_return AdmissionAnswer{.admission = *group->admitted ? Admission::Granted : Admission::Denied, .wait = group->wait};
    }
    // The map of relays may have been cleared during the wait.
    known = relay(notice.relay);
    co_return AdmissionAnswer{.admission = known != nullptr && known->everAnswered ? Admission::Unanswered : Admission::NoRelay};
}

std::uint64_t
LoadClient::sendQuery(Relay &relay, const LoadNotice &notice, const std::shared_ptr<QueryGroup> &group, QueryOptions queryOptions)
{
    const std::uint64_t sequence = send(relay, notice, queryOptions);
    m_pendingQueries[sequence] = {.incarnation = notice.incarnation, .relay = notice.relay, .group = group, .sentAt = steadyNow()};
    ++group->pending;
    return sequence;
}

asio::awaitable<void> LoadClient::awaitAnswers(std::shared_ptr<QueryGroup> group, std::vector<std::uint64_t> sequences, Duration timeout)
{
    group->done.expires_after(timeout);
    co_await group->done.async_wait(s_tuple);
    const Instant now = steadyNow();
    for (const std::uint64_t sequence : sequences) {
        const auto query = m_pendingQueries.find(sequence);
        if (query != m_pendingQueries.end()) {
            handleTimeout(query->second, now);
            m_pendingQueries.erase(query);
        }
    }
}

void LoadClient::handleTimeout(const PendingQuery &query, Instant now)
{
    Relay *known = relay(query.relay);
    if (known == nullptr) {
        return;
    }
    if (known->everAnswered && m_queryObserver
        && !m_queryObserver({.host = known->endpoint.address().to_string(), .sentAt = query.sentAt, .roundTrip = std::nullopt})) {
        return;
    }
    ++known->consecutiveTimeouts;
    if (known->everAnswered && m_onTimeout && !query.aboutStream) {
        m_onTimeout(query.incarnation);
    }
    if (!known->everAnswered || known->consecutiveTimeouts >= m_options.timeoutsBeforeBackoff) {
        const std::uint32_t doublings = std::min(known->consecutiveTimeouts - 1, s_maxDoublings);
        known->backoffUntil = now + std::min(m_options.maxBackoff, m_options.initialBackoff * (std::int64_t{1} << doublings));
    }
}

asio::awaitable<void> LoadClient::receive()
{
    std::array<char, s_maxLoadMessageBytes> message{};
    asio::ip::udp::endpoint from;
    while (m_socket.is_open()) {
        auto [error, size] = co_await m_socket.async_receive_from(asio::buffer(message), from, s_tuple);
        if (error) {
            co_await pause(s_receiveErrorPause);
            continue;
        }
        handleAnswer(from, std::span<const char>(message).first(size));
    }
}

void LoadClient::handleAnswer(const asio::ip::udp::endpoint &from, std::span<const char> message)
{
    wire::LoadAnswer answer;
    if (!answer.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
        return;
    }
    if (answer.sequence() <= m_sequence && m_sequence - answer.sequence() < s_sendTimesKept) {
        const Instant sentAt = m_sendTimes[answer.sequence() % s_sendTimesKept];
        const Duration roundTrip = steadyNow() - sentAt;
        m_shortestRoundTrip = std::min(m_shortestRoundTrip.value_or(roundTrip), roundTrip);
        if (m_queryObserver) {
            m_queryObserver({.host = from.address().to_string(), .sentAt = sentAt, .roundTrip = roundTrip});
        }
    }
    if (answer.has_list()) {
        if (m_onListReport) {
            m_onListReport({.servedFor = std::chrono::milliseconds(answer.list().served_ms()), .storeAway = answer.list().store_away()});
        }
        return;
    }
    const auto found = m_pendingQueries.find(answer.sequence());
    if (found == m_pendingQueries.end()) {
        // The query has timed out: the target was chosen without this answer.
        return;
    }
    const PendingQuery query = std::move(found->second);
    m_pendingQueries.erase(found);
    m_roundTrip += (steadyNow() - query.sentAt - m_roundTrip) / s_roundTripWeight;
    if (Relay *known = relay(query.relay)) {
        known->everAnswered = true;
        known->consecutiveTimeouts = 0;
    }
    if (query.aboutStream) {
        addStreamAnswer(answer, query.group->stream);
        if (--query.group->pending == 0) {
            query.group->done.cancel();
        }
        return;
    }
    query.group->admitted = answer.admitted();
    query.group->wait = std::chrono::milliseconds(answer.wait_ms());
    TargetLoadReply reply{.remoteLoad = {.outstanding = answer.outstanding(), .unread = answer.unread()}, .askedAt = query.sentAt};
    if (answer.has_limit()) {
        reply.limit = answer.limit();
    }
    if (answer.has_speed_ratio()) {
        reply.speed = {.ratio = answer.speed_ratio(), .answers = answer.speed_answers()};
    }
    m_onAnswer(query.incarnation, reply);
    if (--query.group->pending == 0) {
        query.group->done.cancel();
    }
}

}
