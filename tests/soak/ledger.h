// What callers saw, and what is wrong with it when it is held against what the endpoints and the cloud saw.
#pragma once

#include "chicoryrouter/time.h"
#include "support/hosted_platform.h"

#include <limits>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace chicoryrouter::soak {

enum class call_kind : std::uint8_t {
    Order, // runs once at most
    Look,  // may be repeated
    Draft, // a stream that must not be resumed
    Chat,  // a stream that may
    Probe, // of a route that one revision of the configuration has
    Count
};

struct call_record
{
    std::string id;
    call_kind kind = call_kind::Order;
    std::string target;
    std::size_t daemon = 0;
    unsigned incarnation = 0; // of that daemon's process
    int revision = 0;         // Probe: the one whose route was asked
    time_point begun{};
    time_point ended{};
    int status = 0; // 0: no answer's head came
    bool whole = false;
    std::string body;
    std::string answeredId;
    bool sealed = false;
    bool metStart = false; // its daemon was started anew meanwhile: which process it met is not known
    bool former = false;   // its daemon was of the former build then
};

// A span in which callers may see more than the rules of a calm day allow.
struct disturbance
{
    enum class what {
        Endpoints, // faults of endpoints, or between them and the daemons
        Daemon,    // one daemon killed or paused
        Stop,      // one daemon asked to stop
        Start,     // one daemon started, or stood still until now; excuses no cut
        Store,     // one daemon cut off from the store, or the store away; excuses no cut
    };

    what kind = what::Endpoints;
    std::size_t daemon = 0;
    unsigned incarnation = 0;
    time_point from{};
    time_point until{};
};

// An endpoint that has said that it leaves, until it started again.
struct leaving_endpoint
{
    std::string id;
    time_point at{};                                                // acknowledged by the store
    std::size_t arrivals = std::numeric_limits<std::size_t>::max(); // all that it had seen when it started again
};

// Written by callers' threads and by the one that disturbs.
class ledger
{
public:
    void add(call_record call);
    void add(const disturbance &span);
    void addLeaving(const std::string &endpoint);
    void addEndpointStart(const std::string &endpoint, std::size_t arrivals);
    void addConfiguration(int revision); // is accepted now

    // Everything that must not be, in words; empty when all is well. Call when all is quiet.
    // `retriesSaved`: what all routers together may have had saved up beside what their requests earned.
    // `knownWithin`: from the store's acknowledgement to every daemon in touch.
    std::vector<std::string> faults(
        const std::vector<hosted_endpoint *> &endpoints, const std::vector<duty_call> &duties, std::size_t retriesSaved, duration knownWithin);
    [[nodiscard]] std::size_t size();
    [[nodiscard]] std::size_t answered();

private:
    void checkRuns(const call_record &call, int runs);
    void checkAnswer(const call_record &call);
    void checkEnd(const call_record &call);
    void checkRevisions();
    void checkLeaving(hosted_endpoint &endpoint, duration knownWithin);
    void checkInForce(const call_record &call, duration knownWithin);
    void checkDuties(const std::vector<duty_call> &duties);
    void complain(const call_record &call, const std::string &what);
    [[nodiscard]] bool disturbed(const call_record &call, disturbance::what kind) const;
    [[nodiscard]] bool knows(const call_record &call, time_point acknowledged, duration within) const;

    std::mutex m_lock;
    std::vector<call_record> m_calls;
    std::vector<disturbance> m_disturbances;
    std::vector<leaving_endpoint> m_leaving;
    std::map<int, time_point> m_accepted; // by revision; the first one was before all calls
    std::vector<std::string> m_faults;
};

} // namespace chicoryrouter::soak
