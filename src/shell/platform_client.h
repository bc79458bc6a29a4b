// The instance list and the load reports, as the control strand polls them.
#pragma once

#include "chicoryrouter/fleet.h"
#include "shell/http.h"

#include <optional>

namespace chicoryrouter {

// An entry instance as the platform lists it.
struct listed_member
{
    std::string instance;
    std::string failureDomain;
    address peer;
};

struct instance_list
{
    std::vector<instance_record> endpoints;
    std::vector<listed_member> members;
};

std::optional<instance_list> decodeInstanceList(const std::string &text); // nothing when it is no list
std::optional<load_report> decodeLoadReport(const std::string &endpointId, const std::string &text);

boost::asio::awaitable<std::optional<std::string>> fetchInstanceText(http_client &client, address platformAddress, time_point deadline);
boost::asio::awaitable<std::optional<load_report>> fetchLoadReport(http_client &client, endpoint_ptr target, time_point deadline);

} // namespace chicoryrouter
