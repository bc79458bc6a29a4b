// A deployment for one seed: the platform's stand-ins in this process, each endpoint and each router's way to the store behind a proxy, and
// the routers as processes.
#pragma once

#include "soak/loopback_proxy.h"
#include "support/daemon_process.h"
#include "support/hosted_platform.h"

#include <boost/asio/executor_work_guard.hpp>

#include <algorithm>
#include <thread>

namespace chicoryrouter::soak {

using namespace std::chrono_literals;

using test::daemon_process;
using test::freePort;

inline constexpr unsigned soakRetryReserve = 20; // of all routers together
inline constexpr duration knownWithin = 2s;      // a leaving endpoint and a configuration, to every router; as on the users' sheets

// The router's builds: with a former one, each start of a router takes the other build in turn, as an upgrade replaces machines.
struct router_builds
{
    std::string current;
    std::string former; // empty: none
    bool formerFirst = true;

    [[nodiscard]] bool isFormer(unsigned start) const { return !former.empty() && (start % 2 == 1) == formerFirst; }
};

struct proxied_endpoint
{
    proxied_endpoint(worker_pool &workers, boost::asio::io_context &context, std::string id, std::string ofService, std::string domain)
        : endpoint(workers, std::move(id))
        , proxy(context, endpoint.where())
        , service(std::move(ofService))
        , failureDomain(std::move(domain))
    {
        endpoint.faults.workMillis = service == "writer" ? 200 : 30; // streams last long enough to be open when something happens
    }

    std::string entry(const std::string &state) const
    {
        nlohmann::json value = nlohmann::json::parse(endpoint.entry(service, failureDomain, state));
        value["Address"] = "127.0.0.1:" + std::to_string(proxy.where().port);
        return value.dump();
    }

    [[nodiscard]] std::string key() const { return "servers/" + endpoint.id(); }

    hosted_endpoint endpoint;
    loopback_proxy proxy;
    std::string service;
    std::string failureDomain;
    std::string state; // as last reported; empty: it has no entry
};

struct stage
{
    stage(router_builds programs, std::size_t routersWanted, const std::string &folder)
        : builds(std::move(programs))
    {
        for (int i = 1; i <= 3; ++i) {
            const std::string number = std::to_string(i);
            const std::string domain = i % 2 == 0 ? "west-2" : "west-1";
            endpoints.push_back(std::make_unique<proxied_endpoint>(workers, context, "writer-" + number, "writer", domain));
            endpoints.push_back(std::make_unique<proxied_endpoint>(workers, context, "shop-" + number, "shop", domain));
        }
        for (const auto &item : endpoints) {
            report(*item, "ready");
        }
        configure(1);
        for (std::size_t i = 0; i < routersWanted; ++i) {
            storeProxies.push_back(std::make_unique<loopback_proxy>(context, store.where()));
            settings own = hostedSettings("entry-" + std::to_string(i + 1), i % 2 == 0 ? "west-1" : "west-2", store, &cloud);
            own.keyValue = storeProxies.back()->where();
            own.gateway.port = freePort();
            own.readiness.port = freePort();
            own.peer.port = freePort();
            own.retryReserve = soakRetryReserve;
            own.documentWithin = knownWithin;
            own.leavingWithin = knownWithin;
            routers.push_back(std::make_unique<daemon_process>(builds.current, own, folder));
        }
        incarnations = std::vector<std::atomic<unsigned>>(routersWanted);
        busyUntil.resize(routersWanted);
        network = std::thread([this] { context.run(); });
    }

    ~stage()
    {
        routers.clear();
        context.stop();
        network.join();
        workers.stop();
    }

    // Every revision has one route of its own, which no other has.
    void configure(int number)
    {
        nlohmann::json whole = hostedConfiguration();
        const std::string name = "v" + std::to_string(number);
        whole["Version"] = number;
        whole["Routes"].push_back({{"Name", name}, {"Host", "tassel.example"}, {"Prefix", "/" + name + "/"}, {"Kind", "idempotent"}, {"TimeoutMs", 3000},
            {"SloMs", 300}, {"Priority", 2}, {"Service", "shop"}, {"MaxAttempts", 2}});
        store.put("op/config", whole.dump());
        revision = number;
    }

    // As the endpoint does itself; empty: its entry is taken away.
    void report(proxied_endpoint &item, const std::string &state)
    {
        item.state = state;
        if (state.empty()) {
            store.remove(item.key());
        } else {
            store.put(item.key(), item.entry(state));
        }
    }

    // As the operator and the endpoints do after the store's return from an older copy.
    void writeAgain()
    {
        configure(revision);
        for (const auto &item : endpoints) {
            report(*item, item->state);
        }
    }

    void start(std::size_t which)
    {
        const unsigned number = ++incarnations[which];
        routers[which]->setProgram(builds.isFormer(number) ? builds.former : builds.current);
        routers[which]->start();
    }

    [[nodiscard]] bool mixesBuilds() const
    {
        const auto ofFormer = std::count_if(incarnations.begin(), incarnations.end(), [this](unsigned number) { return builds.isFormer(number); });
        return ofFormer > 0 && static_cast<std::size_t>(ofFormer) < incarnations.size();
    }

    router_builds builds;
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{context.get_executor()};
    worker_pool workers{2};
    hosted_store store{workers};
    hosted_cloud cloud{workers};
    std::vector<std::unique_ptr<proxied_endpoint>> endpoints;
    std::vector<std::unique_ptr<loopback_proxy>> storeProxies; // by router
    std::vector<std::unique_ptr<daemon_process>> routers;
    std::vector<std::atomic<unsigned>> incarnations; // by router: starts so far
    std::vector<time_point> busyUntil;               // by router: being paused, stopped or started; only the disturbing thread uses it
    std::atomic<int> revision{0};
    std::thread network;
};

} // namespace chicoryrouter::soak
