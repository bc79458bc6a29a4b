// Bounds the log lines on changes of endpoints' use: the first few of a kind within a second get a line each, the others one line together.
//
// It is designed for deployments with many daemons and endpoints: at a start and at a reclaim each daemon sees hundreds of equal changes, whose
// lines hide the decisions beside them. No I/O.
#pragma once

#include "chicoryrouter/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace chicoryrouter {

// Changes that differ in the endpoint only are of one kind.
struct use_change
{
    std::string service;
    std::string failureDomain;
    std::string before; // "unknown": the endpoint is new
    std::string use;    // "forgotten": it is no longer listed

    bool operator<(const use_change &other) const
    {
        return std::tie(service, failureDomain, before, use) < std::tie(other.service, other.failureDomain, other.before, other.use);
    }
};

struct use_summary
{
    use_change change;
    std::uint32_t count = 0; // endpoints without a line of their own
};

class use_changes
{
public:
    bool add(const use_change &change, time_point now); // true: this one gets a line of its own
    std::vector<use_summary> takeDue(time_point now);   // kinds whose second is over; to be called before add(), and at least about once a second

private:
    struct counted
    {
        time_point endsAt{};
        std::uint32_t lines = 0;
        std::uint32_t left = 0; // without a line
    };

    std::map<use_change, counted> m_kinds; // only those whose second is not over; a kind begins with its first change
};

} // namespace chicoryrouter
