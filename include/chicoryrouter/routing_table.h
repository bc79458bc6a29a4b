// The routing table: everything a request thread needs to choose an endpoint, as one immutable value.
// Built by the control strand from the document, the endpoints known and the shares of open version moves; published by rcu_cell.
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/endpoint.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryrouter {

inline constexpr std::uint32_t totalShare = 1000; // shares of traffic are counted in thousandths

// Endpoints of one version that may take new work, nearest first.
struct version_group
{
    std::string version;
    std::uint32_t share = 0; // thousandths of the service's traffic; the groups of a service sum up to wholeShare
    endpoint_list local;     // in this daemon's failure domain
    endpoint_list remote;    // in others
};

struct service_table
{
    std::string service;
    service_kind kind = service_kind::Plain;
    std::vector<version_group> groups;
};

// Invariant: listed endpoints are all Usable; every service of the document has its table, empty or not.
struct routing_table
{
    std::uint64_t revision = 0; // of the document it was made from
    std::string ownDomain;
    std::vector<service_table> services; // in the document's order

    [[nodiscard]] const service_table *find(std::string_view service) const; // null when there is none
};

struct version_share
{
    std::string service;
    std::string version;
    std::uint32_t share = 0;       // thousandths
    std::uint32_t endpointCap = 0; // use only so many endpoints of this version; 0: all of them

    bool operator==(const version_share &) const = default;
};

// Builds a table. Versions without an entry in `shares` get all traffic when they are the current one and none otherwise.
routing_table buildRoutingTable(
    const revisioned_document &inForce, std::string_view ownDomain, const std::vector<endpoint_ptr> &endpoints, const std::vector<version_share> &shares);

} // namespace chicoryrouter
