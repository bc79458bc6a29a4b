// The placement loop on the control strand. For each service it acquires the lease, computes a plan, records endpoint starts in the key-value
// service, and asks the cloud to start or stop endpoints.
#pragma once

#include "chicoryrouter/cluster_state.h"
#include "chicoryrouter/fleet.h"
#include "chicoryrouter/lease.h"
#include "chicoryrouter/placement.h"
#include "chicoryrouter/settings.h"
#include "shell/platform_client.h"
#include "shell/request_host.h"
#include "shell/store_client.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <string>

namespace chicoryrouter {

class placement_loop
{
public:
    placement_loop(const settings &daemonSettings, boost::asio::io_context &context, http_client &client, store_client &store);

    boost::asio::awaitable<void> run(cluster_state &clusterState, fleet &endpoints, request_host &host); // runs until the context stops
    void onInstances(const instance_list &list);
    void releaseLeases(); // for a planned stop, so that another daemon can take over at once
    [[nodiscard]] std::string statusJson() const;

private:
    struct service_state
    {
        service_state(const std::string &service, const std::string &self)
            : serviceLease(self, {})
            , controller(service)
        {
        }

        lease serviceLease;
        placement_controller controller;
        demand_meter demand;
        demand_meter promptDemand;
        std::uint64_t recordsTerm = 0;    // fencing number under which the records were read; 0: read them again
        std::uint64_t recordsVersion = 0; // version of the records in the key-value service
        placement_plan plan;
    };

    boost::asio::awaitable<void> updateLease(service_state &state, std::string service);
    boost::asio::awaitable<bool> loadRecords(service_state &state, std::string service);
    boost::asio::awaitable<void> executeStep(service_state &state, std::string service, placement_step step);
    boost::asio::awaitable<bool> storeRecords(service_state &state, std::string service);
    placement_plan computePlan(
        service_state &state, const cluster_state &clusterState, const fleet &endpoints, const request_host &host, const placement_bounds &bounds);
    std::vector<running_endpoint> runningEndpoints(const std::string &service, const std::string &version) const;

    settings m_settings;
    boost::asio::io_context &m_context;
    http_client &m_client;
    store_client &m_store;
    std::map<std::string, service_state> m_services;
    instance_list m_instances;
};

} // namespace chicoryrouter
