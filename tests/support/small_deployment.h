// A small deployment on the hosted platform's stand-ins: one daemon, two model endpoints and two plain ones, asked as a caller asks.
#pragma once

#include "support/hosted_platform.h"
#include "support/waiting.h"

#include "hosted_daemon.h"
#include "standin/sync_client.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

namespace chicoryrouter::test {

struct small_deployment
{
    explicit small_deployment(nlohmann::json configuration = hostedConfiguration())
    {
        store.put("op/config", configuration.dump());
        for (hosted_endpoint *item : {&writer1, &writer2}) {
            store.put("servers/" + item->id(), item->entry("writer", "west-1"));
        }
        for (hosted_endpoint *item : {&shop1, &shop2}) {
            store.put("servers/" + item->id(), item->entry("shop", "west-1"));
        }
    }

    ~small_deployment()
    {
        routers.clear();
        workers.stop(); // watches wait in the stand-ins for seconds, also when nobody reads the answer any more
    }

    small_deployment(const small_deployment &) = delete;
    small_deployment &operator=(const small_deployment &) = delete;

    // One more endpoint, not in the store yet; lives as long as the deployment.
    hosted_endpoint &add(const std::string &id)
    {
        more.push_back(std::make_unique<hosted_endpoint>(workers, id));
        return *more.back();
    }

    void start(const std::string &name = "entry-1")
    {
        settings daemonSettings = hostedSettings(name, "west-1", store, &cloud);
        daemonSettings.answers = answers;
        routers.push_back(std::make_unique<platform::hosted_daemon>(daemonSettings));
        cr_assert(eventually([this] { return routers.back()->isReady() && routers.back()->usableEndpointCount() >= 4; }), "the daemon did not become ready");
    }

    sync_client::partial_response ask(
        const std::string &method, const std::string &target, const std::string &id, http_headers extra = {}, std::string body = {})
    {
        http_call call;
        call.method = method;
        call.target = target;
        call.headers = {{"Host", "tassel.example"}, {"X-Request-Id", id}, {"X-Api-Key", "key-1"}, {"X-Deadline-Ms", "10000"}};
        call.headers.insert(call.headers.end(), extra.begin(), extra.end());
        call.body = std::move(body);
        sync_client client;
        return client.callAllowingPartial(routers.front()->gateway(), call);
    }

    int runsOf(const std::string &id)
    {
        int all = 0;
        for (hosted_endpoint *item : {&writer1, &writer2, &shop1, &shop2}) {
            all += item->runs()[id];
        }
        return all;
    }

    answer_limits answers; // of the daemons that are started from now on
    worker_pool workers{2};
    hosted_store store{workers};
    hosted_cloud cloud{workers};
    hosted_endpoint writer1{workers, "writer-1"};
    hosted_endpoint writer2{workers, "writer-2"};
    hosted_endpoint shop1{workers, "shop-1"};
    hosted_endpoint shop2{workers, "shop-2"};
    std::vector<std::unique_ptr<hosted_endpoint>> more;
    std::vector<std::unique_ptr<platform::hosted_daemon>> routers;
};

inline std::string wholeStream()
{
    std::string text;
    for (std::uint32_t number = 1; number <= hostedEvents; ++number) {
        text += hostedEvent(number);
    }
    return text;
}

} // namespace chicoryrouter::test
