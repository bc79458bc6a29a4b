// Requests and JSON decoding of the instance list and load reports.
#include "shell/platform_client.h"

#include <nlohmann/json.hpp>

namespace chicoryrouter {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::size_t maxInstanceListBytes = 4 * 1024 * 1024; // 1,000 instances take about 300 KB

instance_record readInstance(const json &value)
{
    instance_record record;
    record.id = value.at("id");
    record.failureDomain = value.at("failure_domain");
    record.cls = value.at("class") == "on_demand" ? instance_class::OnDemand : instance_class::Reclaimable;
    record.service = value.at("service");
    record.version = value.at("version");
    record.listenAddress = {value.at("ip"), value.at("port")};
    record.leaving = value.at("leaving");
    record.startToken = value.value("token", "");
    if (record.leaving) {
        record.leaveBy = time_point(duration(value.at("leave_by_us").get<std::int64_t>()));
    }
    return record;
}

asio::awaitable<std::optional<std::string>> fetchText(http_client &client, address serverAddress, std::string target, time_point deadline, std::size_t maxBytes)
{
    http_call call;
    call.target = std::move(target);
    try {
        http_response response = co_await client.call(std::move(serverAddress), std::move(call), deadline, maxBytes);
        if (response.status == 200) {
            co_return std::move(response.body);
        }
    } catch (const http_failure &) {
        co_return std::nullopt;
    }
    co_return std::nullopt;
}

} // namespace

std::optional<instance_list> decodeInstanceList(const std::string &text)
{
    try {
        const json value = json::parse(text);
        instance_list list;
        for (const json &item : value.at("instances")) {
            list.endpoints.push_back(readInstance(item));
        }
        for (const json &item : value.at("entries")) {
            list.members.push_back({item.at("instance"), item.at("failure_domain"), {item.at("ip"), item.at("port")}});
        }
        return list;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<load_report> decodeLoadReport(const std::string &endpointId, const std::string &text)
{
    try {
        const json value = json::parse(text);
        if (value.at("id") != endpointId) {
            return std::nullopt; // another process now uses this address
        }
        return load_report{endpointId, value.at("epoch"), value.at("sequence"), value.at("completed"), value.at("running"), value.at("queued")};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

asio::awaitable<std::optional<std::string>> fetchInstanceText(http_client &client, address platformAddress, time_point deadline)
{
    co_return co_await fetchText(client, std::move(platformAddress), "/instances", deadline, maxInstanceListBytes);
}

asio::awaitable<std::optional<load_report>> fetchLoadReport(http_client &client, endpoint_ptr target, time_point deadline)
{
    const std::optional<std::string> text = co_await fetchText(client, target->listenAddress, "/load", deadline, maxShortAnswerBytes);
    co_return text ? decodeLoadReport(target->id, *text) : std::nullopt;
}

} // namespace chicoryrouter
