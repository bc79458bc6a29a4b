// Builders of routing tables and endpoints for focused tests.
#pragma once

#include "chicoryrouter/hash.h"
#include "chicoryrouter/routing_table.h"

#include <string>
#include <vector>

namespace chicoryrouter::test {

inline endpoint_ptr makeEndpoint(const std::string &id, const std::string &domain, std::uint32_t slots, const std::string &version = "v1")
{
    auto result = std::make_shared<endpoint>();
    result->id = id;
    result->key = hashBytes(id);
    result->service = "writer";
    result->version = version;
    result->failureDomain = domain;
    result->load = std::make_shared<endpoint_load>();
    result->load->slots = slots;
    result->linkDelay = domain == "fd-1" ? duration{} : std::chrono::milliseconds(1);
    return result;
}

// A service with one version: `count` endpoints in the own domain fd-1, named e0, e1, ...
inline service_table makeTable(std::size_t count, std::uint32_t slots)
{
    service_table table;
    table.service = "writer";
    table.kind = service_kind::Model;
    table.groups.push_back({"v1", totalShare, {}, {}});
    for (std::size_t i = 0; i < count; ++i) {
        table.groups[0].local.append(makeEndpoint("e" + std::to_string(i), "fd-1", slots));
    }
    return table;
}

} // namespace chicoryrouter::test
