// Creates a request_thread for each thread of a worker_pool and binds it to that thread, before the first request is served.
#pragma once

#include "chicoryrouter/settings.h"
#include "shell/gateway.h"
#include "shell/request_host.h"
#include "shell/worker_pool.h"

#include <boost/asio/post.hpp>

#include <future>
#include <memory>
#include <random>
#include <vector>

namespace chicoryrouter {

using request_threads = std::vector<std::unique_ptr<request_thread>>;

inline request_threads bindRequestThreads(
    worker_pool &workers, const settings &config, const std::shared_ptr<store_counters> &storeCounters, const std::shared_ptr<peer_counters> &peerCounters)
{
    request_threads threads;
    std::random_device seeds;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        boost::asio::io_context &context = workers.at(i);
        threads.push_back(std::make_unique<request_thread>(context, config.keyValue, storeCounters, config.peerKey, peerCounters, seeds()));
        std::promise<void> bound;
        boost::asio::post(context, [thread = threads.back().get(), &bound] {
            gateway::bindThread(thread);
            bound.set_value();
        });
        bound.get_future().wait();
    }
    return threads;
}

} // namespace chicoryrouter
