#include "routing/loadserver.h"

#include "clock/steadytime.h"
#include "failure/failure.h"
#include "link/link.pb.h"
#include "net/pause.h"
#include "operations/log.h"
#include "routing/loadmessages.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <string>

namespace bamboohold {

namespace {

namespace asio = boost::asio;

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);

}

LoadServer::LoadServer(asio::any_io_executor executor, asio::ip::udp::endpoint listen)
    : m_listen(std::move(listen))
    , m_socket(executor)
    , m_cold(steadyNow())
{
}

absl::Status LoadServer::open()
{
    boost::system::error_code error;
    m_socket.open(m_listen.protocol(), error);
    if (!error) {
        m_socket.bind(m_listen, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        return failed(FailureKind::InvalidSetting, absl::StrCat("cannot bind the UDP socket for load queries: ", error.message()));
    }
    asio::co_spawn(m_socket.get_executor(), serve(), asio::detached);
    return absl::OkStatus();
}

std::uint16_t LoadServer::port() const
{
    return m_socket.local_endpoint().port();
}

void LoadServer::handleNote(const wire::LoadNote &note, wire::LoadAnswer &answer)
{
    const Instant now = steadyNow();
    const std::uint64_t target = note.target();
    const TargetLoad own{.outstanding = note.outstanding(), .unread = note.unread()};
    LoadReport report{.router = note.router(), .target = target, .sequence = note.sequence(), .load = own};
    if (note.has_speed_ratio()) {
        report.speed = {.ratio = note.speed_ratio(), .answers = note.speed_answers()};
    }
    const TargetLoad others = m_loads.update(report, now);
    if (note.has_heard_limit()) {
        m_limits.recordLimit(target, note.heard_limit(), now);
    }
    if (note.limited_per_second() > 0 && !m_limits.limit(target)) {
        m_limits.recordLimit(target, note.limited_per_second(), now);
    }
    AdmissionDecision decision;
    if (note.limited_per_second() > 0) {
        const TargetLoad all{.outstanding = own.outstanding + others.outstanding, .unread = own.unread + others.unread};
        decision = m_limits.admit(target, note.limited_per_second(), all, now);
    }
    if (note.admissions_per_second() > 0 && (decision.admitted || note.limited_per_second() <= 0)) {
        decision.admitted = m_cold.admit(target, note.admissions_per_second(), now);
    }
    answer.Clear();
    answer.set_target(target);
    answer.set_sequence(note.sequence());
    answer.set_outstanding(others.outstanding);
    answer.set_unread(others.unread);
    answer.set_admitted(decision.admitted);
    answer.set_wait_ms(static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(decision.wait).count()));
    if (const std::optional<double> limit = m_limits.limit(target)) {
        answer.set_limit(*limit);
    }
    const std::optional<SpeedReport> speed = note.asks() ? m_loads.speedByOthers(note.router(), target, now) : std::nullopt;
    if (speed) {
        answer.set_speed_ratio(speed->ratio);
        answer.set_speed_answers(speed->answers);
    }
}

void LoadServer::handleStreamNote(const wire::LoadNote &note, wire::LoadAnswer &answer)
{
    const Instant now = steadyNow();
    const wire::StreamNote &stream = note.stream();
    answer.Clear();
    answer.set_sequence(note.sequence());
    if (!note.asks()) {
        m_streams.record(stream.key(), {.service = stream.service(), .version = stream.version()}, now);
        return;
    }
    wire::StreamAnswer &reply = *answer.mutable_stream();
    const std::optional<KnownOrigin> known = m_streams.find(stream.key(), now);
    reply.set_known(known.has_value());
    if (known) {
        reply.set_service(known->origin.service);
        reply.set_version(known->origin.version);
        reply.set_contradictory(known->contradictory);
        reply.set_age_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(known->age).count()));
    }
}

asio::awaitable<void> LoadServer::serve()
{
    std::array<char, s_maxLoadMessageBytes> message{};
    asio::ip::udp::endpoint from;
    wire::LoadNote note;
    wire::LoadAnswer answer;
    while (m_socket.is_open()) {
        auto [error, size] = co_await m_socket.async_receive_from(asio::buffer(message), from, s_tuple);
        if (error) {
            co_await pause(s_receiveErrorPause);
            continue;
        }
        if (!note.ParseFromArray(message.data(), static_cast<int>(size))) {
            continue;
        }
        if (note.has_stream()) {
            handleStreamNote(note, answer);
        } else if (note.has_list()) {
            if (!m_reportList) {
                continue;
            }
            const ListReport report = m_reportList();
            const auto servedMs = std::chrono::duration_cast<std::chrono::milliseconds>(report.servedFor).count();
            answer.Clear();
            answer.set_sequence(note.sequence());
            answer.mutable_list()->set_served_ms(static_cast<std::uint32_t>(servedMs));
            answer.mutable_list()->set_store_away(report.storeAway);
        } else {
            handleNote(note, answer);
        }
        if (!note.asks()) {
            continue;
        }
        const std::string text = answer.SerializeAsString();
        // An answer that cannot be sent at once is dropped like a lost datagram; the router then decides by what it already knows.
        boost::system::error_code sendError;
        m_socket.send_to(asio::buffer(text), from, 0, sendError);
    }
}

}
