// A small deployment whose routers are processes of their own, for what only a real process shows: signals, its start and its end, its
// standard output, and ports that others hold.
#pragma once

#include "support/daemon_process.h"
#include "support/small_deployment.h"
#include "test_paths.h"

#include <filesystem>

namespace chicoryrouter::test {

class process_deployment : public small_deployment
{
public:
    process_deployment()
        : m_folder("/tmp/chicory-process-test-" + std::to_string(getpid()))
    {
        std::filesystem::create_directories(m_folder);
    }

    ~process_deployment()
    {
        processes.clear();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    // A router that isn't started yet.
    daemon_process &addRouter(const std::string &name = "entry-1")
    {
        settings own = hostedSettings(name, "west-1", store, &cloud);
        own.gateway.port = freePort();
        own.readiness.port = freePort();
        own.peer.port = freePort();
        processes.push_back(std::make_unique<daemon_process>(CHICORY_DAEMON_PROGRAM, own, m_folder));
        processes.back()->endsWithStarter = true;
        return *processes.back();
    }

    // Whether a lookup at this router is answered before long.
    bool serves(const daemon_process &router)
    {
        return eventually([&router] { return callOn(router, "GET", "/look/ready", "ready").response.status == 200; });
    }

    static sync_client::partial_response callOn(const daemon_process &router, const std::string &method, const std::string &target, const std::string &id)
    {
        http_call call;
        call.method = method;
        call.target = target;
        call.headers = {{"Host", "tassel.example"}, {"X-Request-Id", id}, {"X-Api-Key", "key-1"}, {"X-Deadline-Ms", "10000"}};
        sync_client client;
        try {
            return client.callAllowingPartial(router.own().gateway, call);
        } catch (const http_failure &) {
            return {}; // status 0: no answer
        }
    }

    std::vector<std::unique_ptr<daemon_process>> processes;

private:
    std::string m_folder;
};

} // namespace chicoryrouter::test
