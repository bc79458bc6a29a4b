// The promises, checked.
#include "soak/ledger.h"

#include "shell/clock.h"

#include <algorithm>
#include <array>
#include <set>

namespace chicoryrouter::soak {

using namespace std::chrono_literals;

namespace {

constexpr duration longestCall = 16s; // the callers' own deadline, a pause of their daemon, and room
constexpr duration headSent = 200ms;  // a request that began so long before a stop was asked for is surely with the daemon
constexpr double retryPart = 0.1;     // of the requests
constexpr duration excusedAfterPause = 1s;

constexpr std::array<const char *, static_cast<std::size_t>(call_kind::Count)> kindNames = {"order", "look", "draft", "chat", "probe"};

bool promisesNotRun(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

bool isStream(call_kind kind)
{
    return kind == call_kind::Draft || kind == call_kind::Chat;
}

std::string wholeBody(const call_record &call)
{
    if (!isStream(call.kind)) {
        return "answer to " + call.target;
    }
    std::string text;
    for (std::uint32_t number = 1; number <= hostedEvents; ++number) {
        text += hostedEvent(number);
    }
    return text;
}

} // namespace

void ledger::add(call_record call)
{
    const std::lock_guard guard(m_lock);
    m_calls.push_back(std::move(call));
}

void ledger::add(const disturbance &span)
{
    const std::lock_guard guard(m_lock);
    m_disturbances.push_back(span);
}

void ledger::addLeaving(const std::string &endpoint)
{
    const std::lock_guard guard(m_lock);
    m_leaving.push_back({endpoint, systemNow()});
}

void ledger::addEndpointStart(const std::string &endpoint, std::size_t arrivals)
{
    const std::lock_guard guard(m_lock);
    for (leaving_endpoint &item : m_leaving) {
        if (item.id == endpoint) {
            item.arrivals = std::min(item.arrivals, arrivals);
        }
    }
}

void ledger::addConfiguration(int revision)
{
    const std::lock_guard guard(m_lock);
    m_accepted[revision] = systemNow();
}

std::size_t ledger::size()
{
    const std::lock_guard guard(m_lock);
    return m_calls.size();
}

std::size_t ledger::answered()
{
    const std::lock_guard guard(m_lock);
    return static_cast<std::size_t>(std::count_if(m_calls.begin(), m_calls.end(), [](const call_record &call) { return call.status == 200 && call.whole; }));
}

void ledger::complain(const call_record &call, const std::string &what)
{
    m_faults.push_back(std::string(kindNames.at(static_cast<std::size_t>(call.kind))) + " " + call.id + " at daemon " + std::to_string(call.daemon + 1)
        + " start " + std::to_string(call.incarnation) + (call.former ? " of the former build" : "") + ", status " + std::to_string(call.status)
        + (call.whole ? " whole" : " not whole") + ", " + std::to_string((call.ended - call.begun) / 1ms) + " ms: " + what);
}

bool ledger::disturbed(const call_record &call, disturbance::what kind) const
{
    return std::any_of(m_disturbances.begin(), m_disturbances.end(), [&](const disturbance &span) {
        const bool here = span.kind == kind && (kind == disturbance::what::Endpoints || span.daemon == call.daemon);
        return here && span.from <= call.ended && span.until + excusedAfterPause >= call.begun;
    });
}

// Whether the process that the call met must know what the store acknowledged then: since that moment or the end of a later disturbance it
// was once left alone for so long, and has neither been started nor stood still since.
bool ledger::knows(const call_record &call, time_point acknowledged, duration within) const
{
    const auto leftAlone = [&](time_point from, time_point until, bool storeToo) {
        return std::none_of(m_disturbances.begin(), m_disturbances.end(), [&](const disturbance &span) {
            const bool ofProcess = span.kind == disturbance::what::Daemon || span.kind == disturbance::what::Start;
            const bool counts = ofProcess || (storeToo && span.kind == disturbance::what::Store);
            return counts && span.daemon == call.daemon && span.from < until && span.until > from;
        });
    };
    std::vector<time_point> begins = {acknowledged};
    for (const disturbance &span : m_disturbances) {
        if (span.daemon == call.daemon && span.until > acknowledged) {
            begins.push_back(span.until);
        }
    }
    return std::any_of(begins.begin(), begins.end(),
        [&](time_point from) { return from + within < call.begun && leftAlone(from, from + within, true) && leftAlone(from + within, call.begun, false); });
}

std::vector<std::string> ledger::faults(
    const std::vector<hosted_endpoint *> &endpoints, const std::vector<duty_call> &duties, std::size_t retriesSaved, duration knownWithin)
{
    std::map<std::string, int> runs;
    std::map<std::string, int> arrivals;
    for (hosted_endpoint *item : endpoints) {
        for (const auto &[id, number] : item->runs()) {
            runs[id] += number;
        }
        for (const http_request &request : item->seen()) {
            const bool goesOn = !request.header("Last-Event-Id").empty(); // a stream that moved: it is not sent once more, it goes on
            arrivals[std::string(request.header("X-Request-Id"))] += goesOn ? 0 : 1;
        }
    }
    const std::lock_guard guard(m_lock);
    std::set<std::string> asked;
    for (const call_record &call : m_calls) {
        asked.insert(call.id);
        checkRuns(call, runs[call.id]);
        checkAnswer(call);
        checkEnd(call);
        checkInForce(call, knownWithin);
    }
    std::size_t repeats = 0;
    for (const auto &[id, number] : arrivals) {
        repeats += static_cast<std::size_t>(std::max(number - 1, 0));
        if (asked.count(id) == 0) {
            m_faults.push_back("an endpoint got request " + id + ", which nobody sent");
        }
    }
    if (static_cast<double>(repeats) > retryPart * static_cast<double>(m_calls.size()) + static_cast<double>(retriesSaved)) {
        m_faults.push_back(std::to_string(repeats) + " repeats of " + std::to_string(m_calls.size()) + " requests");
    }
    checkRevisions();
    for (hosted_endpoint *item : endpoints) {
        checkLeaving(*item, knownWithin);
    }
    checkDuties(duties);
    return m_faults;
}

void ledger::checkRuns(const call_record &call, int runs)
{
    const bool once = call.kind == call_kind::Order || call.kind == call_kind::Draft;
    if (once && runs > 1) {
        complain(call, "ran " + std::to_string(runs) + " times");
    }
    if (once && promisesNotRun(call.status) && runs > 0) {
        complain(call, "was told that it did not run, and ran");
    }
    if (call.status == 200 && call.whole && runs == 0) {
        complain(call, "was answered and never ran");
    }
}

void ledger::checkAnswer(const call_record &call)
{
    if (call.status != 200) {
        return;
    }
    const std::string expected = wholeBody(call);
    if (call.whole && call.body != expected) {
        complain(call, "looks whole and is not its answer: " + call.body.substr(0, 80));
    }
    const bool isPart = expected.compare(0, call.body.size(), call.body) == 0;
    if (!call.whole && !isPart) {
        complain(call, "what came is no part of its answer: " + call.body.substr(0, 80));
    }
    if (call.answeredId != call.id || !call.sealed) {
        complain(call, "answered as " + call.answeredId + (call.sealed ? "" : " without the endpoint's seal"));
    }
}

void ledger::checkEnd(const call_record &call)
{
    if (call.ended - call.begun > longestCall) {
        complain(call, "had no end");
    }
    const bool cut = call.status == 0 || !call.whole;
    if (!cut || call.metStart || disturbed(call, disturbance::what::Endpoints) || disturbed(call, disturbance::what::Daemon)) {
        return;
    }
    for (const disturbance &span : m_disturbances) {
        const bool atStop = span.kind == disturbance::what::Stop && span.daemon == call.daemon && span.incarnation == call.incarnation;
        if (atStop && call.begun + headSent < span.from && call.ended > span.from) {
            complain(call, "was cut by a planned stop");
        }
    }
    if (!disturbed(call, disturbance::what::Stop)) {
        complain(call, "was cut on a calm path");
    }
}

// Once one process has acted on a configuration it does not act on an older one.
void ledger::checkRevisions()
{
    for (const call_record &later : m_calls) {
        if (later.kind != call_kind::Probe || later.status != 200 || later.metStart) {
            continue;
        }
        for (const call_record &earlier : m_calls) {
            const bool sameProcess = earlier.kind == call_kind::Probe && earlier.status == 200 && !earlier.metStart && earlier.daemon == later.daemon
                && earlier.incarnation == later.incarnation;
            if (sameProcess && earlier.ended < later.begun && earlier.revision > later.revision) {
                complain(later, "was served by revision " + std::to_string(later.revision) + " after " + std::to_string(earlier.revision));
                return;
            }
        }
    }
}

// A route of the newest configuration is served once its daemon has had the time to learn of it.
void ledger::checkInForce(const call_record &call, duration knownWithin)
{
    const bool newest = std::none_of(m_accepted.upper_bound(call.revision), m_accepted.end(), [&](const auto &item) { return item.second < call.ended; });
    if (call.kind != call_kind::Probe || call.status != 404 || call.metStart || !newest) {
        return;
    }
    const time_point accepted = m_accepted[call.revision];
    if (knows(call, accepted, knownWithin)) {
        complain(call,
            "revision " + std::to_string(call.revision) + " is not in force " + std::to_string((call.begun - accepted) / 1ms) + " ms after it was accepted");
    }
}

void ledger::checkLeaving(hosted_endpoint &endpoint, duration knownWithin)
{
    std::map<std::string, const call_record *> calls;
    for (const call_record &call : m_calls) {
        calls[call.id] = &call;
    }
    const std::vector<http_request> seen = endpoint.seen();
    for (const leaving_endpoint &item : m_leaving) {
        const std::size_t until = item.id == endpoint.id() ? std::min(item.arrivals, seen.size()) : 0;
        for (std::size_t i = 0; i < until; ++i) {
            const auto found = calls.find(std::string(seen[i].header("X-Request-Id")));
            if (found != calls.end() && !found->second->metStart && knows(*found->second, item.at, knownWithin)) {
                complain(*found->second,
                    "begun " + std::to_string((found->second->begun - item.at) / 1ms) + " ms after the leaving of " + item.id
                        + " was acknowledged, reached it");
            }
        }
    }
}

void ledger::checkDuties(const std::vector<duty_call> &duties)
{
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest; // by duty: fencing and holder
    std::map<std::uint64_t, nlohmann::json> reported;                    // by window
    for (const duty_call &call : duties) {
        auto &[fencing, holder] = newest[call.path + call.body.value("Service", std::string())];
        if (call.fencing < fencing) {
            m_faults.push_back(call.path + " by " + call.holder + " with fencing " + std::to_string(call.fencing) + " after " + std::to_string(fencing));
        }
        if (call.fencing == fencing && !holder.empty() && holder != call.holder) {
            m_faults.push_back(call.path + ": two holders with fencing " + std::to_string(fencing));
        }
        fencing = std::max(fencing, call.fencing);
        holder = call.holder;
        if (call.path == "/usage") {
            const auto [place, first] = reported.try_emplace(call.body.at("Window").get<std::uint64_t>(), call.body.at("Counts"));
            if (!first && place->second != call.body.at("Counts")) {
                m_faults.push_back("two reports of window " + std::to_string(place->first) + " differ");
            }
        }
    }
}

} // namespace chicoryrouter::soak
