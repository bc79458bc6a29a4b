// The routing table: everything a request thread needs to choose an endpoint, as one immutable value.
// The control strand builds it from the document, the known endpoints and the shares of version moves in progress, and publishes it in
// an rcu_cell.
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/endpoint.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryrouter {

inline constexpr std::uint32_t totalShare = 1000; // all traffic of a service; shares are in thousandths

// The usable endpoints of one version, or of all versions not on trial if the service has `anyVersion`.
struct version_group
{
    std::string version;
    std::uint32_t share = 0; // thousandths of the service's traffic; the shares of a service add up to totalShare
    endpoint_list local;     // in this daemon's failure domain
    endpoint_list remote;    // in other failure domains
};

struct service_table
{
    std::string service;
    service_kind kind = service_kind::Plain;
    std::vector<version_group> groups;
};

// Invariant: all endpoints in it are Usable; every service of the document has a table, which may be empty.
struct routing_table
{
    std::uint64_t revision = 0; // of the document it was built from
    std::string ownDomain;
    std::vector<service_table> services; // in document order

    [[nodiscard]] const service_table *find(std::string_view service) const; // null if there is no such service
};

struct version_share
{
    std::string service;
    std::string version;
    std::uint32_t share = 0;       // thousandths
    std::uint32_t endpointCap = 0; // use at most this many endpoints of the version; 0: no limit

    bool operator==(const version_share &) const = default;
};

// Builds a table. If `shares` has no entry for a service, its current version gets all traffic. If it has some, versions without an entry
// get none.
routing_table buildRoutingTable(
    const revisioned_document &inForce, std::string_view ownDomain, const std::vector<endpoint_ptr> &endpoints, const std::vector<version_share> &shares);

} // namespace chicoryrouter
