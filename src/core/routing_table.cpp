// Builds routing tables from the document, the endpoints and the version shares.
#include "chicoryrouter/routing_table.h"

#include "chicoryrouter/hash.h"

#include <algorithm>

namespace chicoryrouter {

namespace {

const version_share *findShare(const std::vector<version_share> &shares, std::string_view service, std::string_view version)
{
    const auto found
        = std::find_if(shares.begin(), shares.end(), [&](const version_share &item) { return item.service == service && item.version == version; });
    return found == shares.end() ? nullptr : &*found;
}

bool hasShares(const std::vector<version_share> &shares, std::string_view service)
{
    return std::any_of(shares.begin(), shares.end(), [&](const version_share &item) { return item.service == service; });
}

// Limits the endpoints of a version to `cap`. Sorts by key because all daemons must keep the same endpoints.
void keepFirstByKey(std::vector<endpoint_ptr> &endpoints, std::uint32_t cap)
{
    if (cap == 0 || endpoints.size() <= cap) {
        return;
    }
    std::sort(endpoints.begin(), endpoints.end(), [](const endpoint_ptr &a, const endpoint_ptr &b) { return a->key < b->key; });
    endpoints.resize(cap);
}

version_group buildGroup(const service &serviceSpec,
    const version_spec &version,
    std::string_view ownDomain,
    const std::vector<endpoint_ptr> &endpoints,
    const std::vector<version_share> &shares)
{
    version_group group;
    group.version = version.name;
    const version_share *entry = findShare(shares, serviceSpec.name, version.name);
    const bool moving = hasShares(shares, serviceSpec.name);
    group.share = entry != nullptr ? entry->share : (!moving && version.name == serviceSpec.currentVersion ? totalShare : 0);

    std::vector<endpoint_ptr> usable;
    for (const endpoint_ptr &item : endpoints) {
        if (item->service == serviceSpec.name && item->version == version.name && item->use == endpoint_use::Usable) {
            usable.push_back(item);
        }
    }
    keepFirstByKey(usable, entry != nullptr ? entry->endpointCap : 0);
    for (endpoint_ptr &item : usable) {
        (item->failureDomain == ownDomain ? group.local : group.remote).append(std::move(item));
    }
    return group;
}

// For services with `anyVersion`, whose versions are not listed in the document but reported by the endpoints: the version on trial forms
// one group, all other versions together form a second one.
std::vector<version_group> buildAnyVersionGroups(
    const service &serviceSpec, std::string_view ownDomain, const std::vector<endpoint_ptr> &endpoints, const std::vector<version_share> &shares)
{
    version_group trial;
    version_group rest;
    for (const version_share &item : shares) {
        if (item.service == serviceSpec.name && !item.version.empty()) {
            trial.version = item.version;
            trial.share = item.share;
        }
    }
    rest.share = totalShare - trial.share;
    for (const endpoint_ptr &item : endpoints) {
        if (item->service != serviceSpec.name || item->use != endpoint_use::Usable) {
            continue;
        }
        const bool onTrial = !trial.version.empty() && item->version == trial.version;
        version_group &group = onTrial ? trial : rest;
        (item->failureDomain == ownDomain ? group.local : group.remote).append(item);
    }
    return {std::move(trial), std::move(rest)};
}

} // namespace

const service_table *routing_table::find(std::string_view service) const
{
    const auto found = std::find_if(services.begin(), services.end(), [&](const service_table &item) { return item.service == service; });
    return found == services.end() ? nullptr : &*found;
}

routing_table buildRoutingTable(
    const revisioned_document &inForce, std::string_view ownDomain, const std::vector<endpoint_ptr> &endpoints, const std::vector<version_share> &shares)
{
    routing_table table;
    table.revision = inForce.revision;
    table.ownDomain = ownDomain;
    for (const service &serviceSpec : inForce.content.services) {
        service_table built;
        built.service = serviceSpec.name;
        built.kind = serviceSpec.kind;
        if (serviceSpec.anyVersion) {
            built.groups = buildAnyVersionGroups(serviceSpec, ownDomain, endpoints, shares);
        }
        for (const version_spec &version : serviceSpec.versions) {
            built.groups.push_back(buildGroup(serviceSpec, version, ownDomain, endpoints, shares));
        }
        table.services.push_back(std::move(built));
    }
    return table;
}

} // namespace chicoryrouter
