#include "budget/budgetrows.h"
#include "budget/nodeledger.h"
#include "configuration/configuration.h"
#include "engine/runtable.h"
#include "gateway/targetbalancer.h"
#include "inventory/teamkey.h"
#include "link/link.pb.h"
#include "membership/peerdirectory.h"
#include "quarantine/quarantinenotice.h"
#include "routing/stablehash.h"
#include "routing/streamorigin.h"
#include "routing/streamoriginstore.h"
#include "routing/targettable.h"
#include "store/memorytable.h"

#include <boost/json/serialize.hpp>
#include <malloc.h>

#include <chrono>
#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace bamboohold;

constexpr Instant s_now{std::chrono::hours(1)};
constexpr int s_repeats = 5;
/// Budgets that a router of the target works on within the life of a request: 23 requests a second of about ten seconds each.
constexpr int s_budgetsInMotion = 230;

/// One measured point of a slope.
struct Point {
    double size = 0;
    double value = 0;
};

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/// Shortest of several runs, in microseconds.
double microseconds(const std::function<void()> &act)
{
    double best = INFINITY;
    for (int repeat = 0; repeat < s_repeats; ++repeat) {
        const auto begin = std::chrono::steady_clock::now();
        act();
        best = std::min(best, std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count());
    }
    return best;
}

/// The time for one of many repetitions, in microseconds.
double microsecondsEach(const std::function<void()> &act)
{
    constexpr int repetitions = 1000;
    return microseconds([&] {
               for (int repetition = 0; repetition < repetitions; ++repetition) {
                   act();
               }
           })
        / repetitions;
}

/// Prints a slope: least squares through the points, and the largest distance of a point from the line as a share of the largest value.
void print(const std::string &name, const std::string &grows, const std::string &unit, const std::vector<Point> &points)
{
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    double highest = 0;
    for (const Point &point : points) {
        sumX += point.size;
        sumY += point.value;
        sumXX += point.size * point.size;
        sumXY += point.size * point.value;
        highest = std::max(highest, std::abs(point.value));
    }
    const auto count = static_cast<double>(points.size());
    const double slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
    const double intercept = (sumY - slope * sumX) / count;
    double error = 0;
    boost::json::array list;
    for (const Point &point : points) {
        error = std::max(error, std::abs(point.value - (intercept + slope * point.size)) / std::max(highest, 1e-12));
        list.emplace_back(boost::json::array{point.size, point.value});
    }
    const boost::json::object line{{"slope_of", name},
                                   {"grows", grows},
                                   {"unit", unit},
                                   {"from", points.front().size},
                                   {"to", points.back().size},
                                   {"slope", slope},
                                   {"intercept", intercept},
                                   {"fit_error", error},
                                   {"measured", true},
                                   {"points", std::move(list)}};
    std::cout << boost::json::serialize(line) << std::endl;
}

std::string numbered(const char *prefix, int number)
{
    return std::string(prefix) + std::to_string(number);
}

std::unique_ptr<NodeLedger> ledgerWith(int budgets, MemoryTable &table)
{
    auto ledger = std::make_unique<NodeLedger>(
        NodeLedger::Options{.identity = {.incarnation = "router~0123456789abcdef", .host = "host"}, .policy = {.returnsSurplus = false}});
    const auto plan = ledger->planFlush({}, {}, s_now);
    (void)ledger->onFlushAnswered(*table.transact(plan->transaction), s_now);
    for (int index = 0; index < budgets; ++index) {
        ledger->account(numbered("budget-of-team-", index))
            .onFlushApplied({.budget = numbered("budget-of-team-", index), .draw = 1'000'000}, s_now);
    }
    return ledger;
}

void measureLedger()
{
    std::vector<Point> bytes;
    std::vector<Point> planning;
    for (const int budgets : {1000, 5000, 10'000, 20'000, 40'000}) {
        MemoryTable table;
        const double before = heapBytes();
        const auto ledger = ledgerWith(budgets, table);
        bytes.push_back({static_cast<double>(budgets), heapBytes() - before});
        // One look after the start finds that nothing is in motion; what is measured is every later one, with a second's requests in
        // motion.
        (void)ledger->planFlush({}, {.routers = 330}, s_now);
        for (int index = 0; index < s_budgetsInMotion; ++index) {
            (void)ledger->account(numbered("budget-of-team-", index * budgets / s_budgetsInMotion));
        }
        planning.push_back({static_cast<double>(budgets), microseconds([&] {
                                (void)ledger->needsUrgentFlush(s_now);
                                (void)ledger->budgetsToRead({.routers = 330}, s_now);
                            })});
    }
    print("router memory", "budgets held", "bytes", bytes);
    print("router time for one look at its accounts", "budgets held", "microseconds", planning);
}

void measureFlush()
{
    std::vector<Point> bytes;
    std::vector<Point> time;
    for (const int budgets : {1, 4, 8, 16, 24}) {
        MemoryTable table;
        const auto ledger = ledgerWith(budgets, table);
        for (int index = 0; index < budgets; ++index) {
            const std::string budget = numbered("budget-of-team-", index);
            const std::string request = numbered("0123456789abcdef0123456789abcde", index);
            ledger->account(budget).reserve(request, 100, {}, s_now);
            const Tokens charged = ledger->account(budget).settle(request, 60, s_now);
            ledger->addCharge({.requestId = request, .team = budget, .budget = budget, .target = "target-17", .tokens = charged});
        }
        std::optional<FlushPlan> plan;
        const double planned = microseconds([&] {
            plan = ledger->planFlush({}, {}, s_now);
            ledger->onFlushAnswerLost();
        });
        const std::string body = boost::json::serialize(toJson(plan->transaction));
        bytes.push_back({static_cast<double>(budgets), static_cast<double>(body.size() + plan->object.size())});
        time.push_back({static_cast<double>(budgets), planned + microseconds([&] {
                                                          (void)boost::json::serialize(toJson(plan->transaction));
                                                      })});
    }
    print("flush size", "budgets touched in a flush", "bytes", bytes);
    print("flush time", "budgets touched in a flush", "microseconds", time);
}

void measureTargets()
{
    std::vector<Point> bytes;
    std::vector<Point> choosing;
    for (const int targets : {50, 100, 200, 400, 870}) {
        const double before = heapBytes();
        auto table = std::make_unique<TargetTable>(TargetTable::Options{});
        std::vector<TargetDescriptor> places;
        places.reserve(static_cast<std::size_t>(targets));
        for (int index = 0; index < targets; ++index) {
            places.push_back({.name = numbered("target-", index), .model = numbered("model-", index % 21), .slots = 32});
        }
        table->setTargets(std::move(places));
        for (int index = 0; index < targets; ++index) {
            table->recordReport(
                numbered("target-", index), {.incarnation = numbered("target-0123456789abcdef-", index), .slots = 32}, s_now);
        }
        bytes.push_back({static_cast<double>(targets), heapBytes() - before});
        choosing.push_back({static_cast<double>(targets), microseconds([&] {
                                (void)table->choose({.model = "model-7"}, s_now);
                            })});
    }
    print("router memory", "targets", "bytes", bytes);
    print("router time for one choice", "targets", "microseconds", choosing);
}

/// What streams that may be resumed cost the routers that begin them and the relays that keep where they began.
void measureStreams()
{
    std::vector<Point> bytes;
    for (const int origins : {1000, 2000, 5000, 10'000, 20'000}) {
        const double before = heapBytes();
        auto store = std::make_unique<StreamOriginStore>();
        for (int index = 0; index < origins; ++index) {
            store->record(streamKey("team", numbered("0123456789abcde", index)), {.service = "drafting", .version = "v1.2"}, s_now);
        }
        bytes.push_back({static_cast<double>(origins), heapBytes() - before});
    }
    print("relay memory", "origins of streams kept", "bytes", bytes);
    std::vector<Point> choosing;
    std::vector<Point> refreshing;
    for (const int relays : {50, 100, 200, 400, 870}) {
        std::vector<std::string> addresses;
        TargetBalancer board({});
        for (int index = 0; index < relays; ++index) {
            addresses.push_back(numbered("10.10.10.100:7340", index));
            board.updateListing({.incarnation = numbered("i-0123456789-", index), .service = "drafting", .relay = addresses.back()}, s_now);
        }
        StreamKeepers keepers;
        refreshing.push_back({static_cast<double>(relays), microseconds([&] {
                                  keepers.setProcesses(board.relays("drafting"));
                              })});
        choosing.push_back({static_cast<double>(relays), microseconds([&] {
                                (void)keepers.keepersOf(streamKey("team", "0123456789abcdef"), 2);
                            })});
    }
    print("router time to choose the keepers of a stream", "relays", "microseconds", choosing);
    print("router time to look up the relays", "relays", "microseconds", refreshing);
    std::vector<Point> report;
    std::vector<Point> question;
    std::vector<Point> answer;
    for (const int length : {8, 16, 32}) {
        wire::LoadNote note;
        note.set_sequence(1'000'000);
        note.mutable_stream()->set_key(UINT64_MAX);
        note.set_asks(true);
        question.push_back({static_cast<double>(length), static_cast<double>(note.ByteSizeLong())});
        note.set_asks(false);
        const std::string half(static_cast<std::size_t>(length / 2), 'x');
        note.mutable_stream()->set_service(half);
        note.mutable_stream()->set_version(half);
        report.push_back({static_cast<double>(length), static_cast<double>(note.ByteSizeLong())});
        wire::LoadAnswer reply;
        reply.set_sequence(1'000'000);
        reply.mutable_stream()->set_known(true);
        reply.mutable_stream()->set_service(half);
        reply.mutable_stream()->set_version(half);
        reply.mutable_stream()->set_age_ms(30'000);
        answer.push_back({static_cast<double>(length), static_cast<double>(reply.ByteSizeLong())});
    }
    print("report of a stream", "characters of service and version", "bytes", report);
    print("question about a stream", "characters of service and version", "bytes", question);
    print("answer about a stream", "characters of service and version", "bytes", answer);
}

/// The board of a router without sidecars, with a service of 21 models' size: all targets serve one, which is the worst case.
void measureBoard()
{
    constexpr int parts = 3;
    constexpr int choices = 200;
    std::vector<Point> bytes;
    std::vector<Point> choosing;
    for (const int targets : {50, 100, 200, 400, 870}) {
        const double before = heapBytes();
        auto board = std::make_unique<TargetBalancer>(TargetBalancer::Options{.failureDomain = "domain-0"});
        std::vector<TargetListing> listings;
        listings.reserve(static_cast<std::size_t>(targets));
        for (int index = 0; index < targets; ++index) {
            listings.push_back({.incarnation = numbered("target-0123456789abcdef-", index),
                                .service = "drafting",
                                .address = numbered("10.0.0.1:", index),
                                .failureDomain = numbered("domain-", index % 10),
                                .relay = numbered("10.0.0.2:", index),
                                .slots = 32});
        }
        board->replaceAll(std::move(listings), s_now);
        const double taken = heapBytes() - before;
        std::uint64_t draw = 0;
        const double all = microseconds([&] {
            for (int choice = 0; choice < choices; ++choice) {
                std::vector<PromptPart> prompt;
                prompt.reserve(parts);
                for (int part = 0; part < parts; ++part) {
                    prompt.push_back({.id = ++draw, .tokens = 500});
                }
                const PlacementRequest wish{.service = "drafting", .prompt = prompt, .seed = draw};
                (void)board->candidates(wish, 3, s_now);
                (void)board->choose(wish, s_now);
            }
        });
        bytes.push_back({static_cast<double>(targets), taken});
        choosing.push_back({static_cast<double>(targets), all / choices});
    }
    print("board memory", "targets", "bytes", bytes);
    print("board time for candidates and choice", "targets", "microseconds", choosing);
}

void measureTeams()
{
    std::vector<Point> bytes;
    std::vector<Point> reading;
    std::vector<Point> document;
    std::vector<Point> authenticating;
    for (const int teams : {500, 1000, 2000, 4000, 12'000}) {
        Inventory inventory{.name = "site"};
        std::string key;
        for (int index = 0; index < teams; ++index) {
            inventory.budgets.push_back({.name = numbered("budget-of-team-", index), .prepaid = 1'000'000});
            inventory.teams.push_back({.name = numbered("team-", index), .budget = numbered("budget-of-team-", index)});
            key = issueKey(inventory.teams.back());
        }
        const std::string text = writeInventory(inventory);
        document.push_back({static_cast<double>(teams), static_cast<double>(text.size())});
        reading.push_back({static_cast<double>(teams), microseconds([&] {
                               (void)readInventory(text);
                           })});
        const double before = heapBytes();
        const auto configuration = std::make_unique<Configuration>(1, *readInventory(text).inventory);
        bytes.push_back({static_cast<double>(teams), heapBytes() - before});
        authenticating.push_back({static_cast<double>(teams), microseconds([&] {
                                      (void)configuration->authenticate(key);
                                  })});
    }
    print("configuration document", "teams with a budget each", "bytes", document);
    print("time to read a configuration", "teams with a budget each", "microseconds", reading);
    print("configuration memory", "teams with a budget each", "bytes", bytes);
    print("time to authenticate", "teams with a budget each", "microseconds", authenticating);
}

void measurePeers()
{
    std::vector<Point> bytes;
    std::vector<Point> looking;
    std::vector<Point> scan;
    for (const int routers : {10, 50, 100, 200, 330}) {
        std::vector<TableRow> rows;
        for (int index = 0; index < routers; ++index) {
            boost::json::object fields{
                {"state", "live"}, {"flush", "123456"}, {"host", numbered("entry-", index)}, {"address", "127.20.1.1:7400"}};
            fields["ledger"] = numbered("ledger/router-0123456789abcdef-/", index);
            rows.push_back({.key = numbered("node/router-0123456789abcdef-", index), .version = 7, .fields = std::move(fields)});
        }
        const double before = heapBytes();
        auto directory = std::make_unique<PeerDirectory>(PeerDirectory::Options{.self = "node/router-0123456789abcdef-0"});
        directory->updateRows(rows, s_now);
        bytes.push_back({static_cast<double>(routers), heapBytes() - before});
        looking.push_back({static_cast<double>(routers), microseconds([&] {
                               directory->updateRows(rows, s_now);
                               (void)directory->suspects(s_now);
                           })});
        double size = 0;
        for (const TableRow &row : rows) {
            size += static_cast<double>(boost::json::serialize(toJson(row)).size());
        }
        scan.push_back({static_cast<double>(routers), size});
    }
    print("peer directory memory", "routers", "bytes", bytes);
    print("time for one look at the peers", "routers", "microseconds", looking);
    print("scan of all node rows", "routers", "bytes", scan);
}

void measureRuns()
{
    std::vector<Point> bytes;
    std::vector<Point> sealing;
    for (const int runs : {100, 500, 1000, 2000, 5000}) {
        const double before = heapBytes();
        auto table = std::make_unique<RunTable>(RunTable::Options{.incarnation = "target~1", .limit = UINT32_MAX});
        table->setKnownRouters({}, {});
        for (int index = 0; index < runs; ++index) {
            (void)table->admit({.requestId = numbered("0123456789abcdef0123456789abcde", index),
                                .router = numbered("router-0123456789abcdef-", index % 330),
                                .targetIncarnation = "target~1",
                                .team = "team-17",
                                .budget = "budget-of-team-17",
                                .bound = 1000,
                                .expiresIn = std::chrono::seconds(1)},
                               s_now);
        }
        bytes.push_back({static_cast<double>(runs), heapBytes() - before});
        sealing.push_back({static_cast<double>(runs), microseconds([&] {
                               (void)table->seal("router-0123456789abcdef-7");
                           })});
    }
    print("sidecar memory", "runs not known to be billed", "bytes", bytes);
    print("sidecar time to answer a seal", "runs not known to be billed", "microseconds", sealing);
}

void printSize(const char *name, const wire::Envelope &envelope)
{
    const boost::json::object line{{"message", name}, {"bytes", static_cast<std::int64_t>(envelope.ByteSizeLong())}, {"measured", true}};
    std::cout << boost::json::serialize(line) << std::endl;
}

/// The parts of one prompt, apart for each request but the first one.
std::vector<RequestFingerprint> partsOf(std::uint64_t request, std::size_t count)
{
    std::vector<RequestFingerprint> parts{RequestFingerprint::ofPart({.service = "drafting", .model = "m", .part = 1})};
    while (parts.size() < count) {
        parts.push_back(RequestFingerprint::ofPart({.service = "drafting", .model = "m", .part = mixed(request * count + parts.size())}));
    }
    return parts;
}

/// What a request costs by the parts that it shares: while nothing crashes, and while 256 of them are quarantined and 8,192 suspected.
void measurePromptParts()
{
    std::vector<Point> calm;
    std::vector<Point> screening;
    for (const std::size_t count : {1, 2, 4, 8, 16}) {
        Quarantine quarantine;
        std::uint64_t request = 0;
        calm.push_back({static_cast<double>(count), microsecondsEach([&] {
                            for (const RequestFingerprint &part : partsOf(++request % 1000, count)) {
                                quarantine.recordAnswer(part, s_now);
                            }
                        })});
        std::vector<RequestFingerprint> suspects = partsOf(1'000'000, quarantine.options().suspects.maxSuspects);
        quarantine.recordCrash(1, suspects, s_now);
        for (std::uint64_t held = 0; held < quarantine.options().maxEntries; ++held) {
            quarantine.mergeEntry(RequestFingerprint::ofPart({.service = "drafting", .model = "m", .part = held + 2}),
                                  {.nextTrial = s_now + std::chrono::hours(1), .lastCrash = s_now},
                                  s_now);
        }
        screening.push_back({static_cast<double>(count), microsecondsEach([&] {
                                 const std::vector<RequestFingerprint> parts = partsOf(++request % 1000, count);
                                 (void)quarantine.timeToNextTrial(parts, s_now);
                             })});
    }
    print("quarantine, time for a request's answer while nothing crashes", "parts of its prompt", "microseconds", calm);
    print("quarantine, time to look a request up while 256 parts are held", "parts of its prompt", "microseconds", screening);
    std::vector<Point> bytes;
    std::vector<Point> crash;
    for (const std::size_t suspects : {500, 1000, 2000, 4000, 8000}) {
        const double before = heapBytes();
        auto quarantine = std::make_unique<Quarantine>();
        const std::vector<RequestFingerprint> parts = partsOf(7, suspects);
        quarantine->recordCrash(1, parts, s_now);
        bytes.push_back({static_cast<double>(suspects), heapBytes() - before - static_cast<double>(parts.capacity() * sizeof(parts[0]))});
        std::uint64_t target = 1;
        crash.push_back({static_cast<double>(suspects), microseconds([&] {
                             quarantine->recordCrash(1 + ++target % 2, parts, s_now);
                         })});
    }
    print("quarantine, memory of suspected parts", "parts", "bytes", bytes);
    print("quarantine, time for a report of a crash", "parts in it", "microseconds", crash);
    wire::Envelope crashed;
    *crashed.mutable_crash_notice() = toWire(CrashReport{.target = 1, .inFlight = partsOf(1, 3)});
    printSize("crash notice, three parts", crashed);
    wire::Envelope held;
    *held.mutable_quarantine_notice() = toWire(QuarantineChange{.fingerprint = partsOf(1, 1).front(),
                                                                .remaining = std::chrono::seconds(2),
                                                                .quarantineLevel = 1,
                                                                .sinceCrash = std::chrono::seconds(1)});
    printSize("quarantine notice, a part", held);
}

void measureMessages()
{
    wire::Envelope report;
    report.mutable_report()->set_target("target-417");
    report.mutable_report()->set_incarnation("target-417~0123456789abcdef");
    report.mutable_report()->set_running(17);
    report.mutable_report()->set_slots(32);
    report.mutable_report()->set_engine_reachable(true);
    printSize("report of a sidecar to a router", report);
    wire::Envelope heartbeat;
    heartbeat.mutable_heartbeat()->set_host("entry-117");
    heartbeat.mutable_heartbeat()->set_settled_before_incarnation("target-417~0123456789abcdef");
    printSize("heartbeat of a router", heartbeat);
    wire::Envelope recall;
    recall.mutable_recall()->set_budget("budget-of-team-117");
    recall.mutable_recall()->set_need(4000);
    printSize("recall of a router to a router", recall);
    wire::Envelope settled;
    settled.mutable_settled()->add_request_ids("0123456789abcdef0123456789abcdef");
    printSize("settled, one request", settled);
}

}

/// Measures how the decision objects grow, one thing at a time, and prints a JSON line for each slope.
int main()
{
    measureLedger();
    measureFlush();
    measureTargets();
    measureBoard();
    measureStreams();
    measureTeams();
    measurePeers();
    measureRuns();
    measurePromptParts();
    measureMessages();
    return 0;
}
