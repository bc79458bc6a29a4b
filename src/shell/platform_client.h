// Fetches and decodes the platform's instance list and the endpoints' load reports, which the control strand polls.
#pragma once

#include "chicoryrouter/fleet.h"
#include "shell/http.h"

#include <optional>

namespace chicoryrouter {

// A router instance in the platform's instance list.
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

std::optional<instance_list> decodeInstanceList(const std::string &text); // nullopt when `text` is not a valid list
std::optional<load_report> decodeLoadReport(const std::string &endpointId, const std::string &text);

boost::asio::awaitable<std::optional<std::string>> fetchInstanceText(http_client &client, address platformAddress, time_point deadline);
boost::asio::awaitable<std::optional<load_report>> fetchLoadReport(http_client &client, endpoint_ptr target, time_point deadline);

} // namespace chicoryrouter
