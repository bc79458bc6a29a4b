// One request of a service, driven by hand: its state machine without a network, and what it asked for last.
#pragma once

#include "chicoryrouter/hash.h"
#include "chicoryrouter/request_machine.h"
#include "chicoryrouter/retry_budget.h"
#include "support/world.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

namespace chicoryrouter::test {

// A streamed route of service `m`.
inline contract routeOf(const std::string &name)
{
    contract route;
    route.route = name;
    route.service = "m";
    route.streamed = true;
    route.deadline = std::chrono::seconds(15);
    route.queueLimit = std::chrono::seconds(15);
    route.firstTokenTarget = std::chrono::milliseconds(400);
    return route;
}

inline request_facts factsOf(const contract &route, service_kind kind = service_kind::Model)
{
    return makeFacts("r1", "a", route, kind, worldStart);
}

// An endpoint with one free slot.
inline endpoint_ptr endpointWithSlot(const std::string &id)
{
    auto target = std::make_shared<endpoint>();
    target->id = id;
    target->key = hashBytes(id);
    target->load = std::make_shared<endpoint_load>();
    target->load->slots = 1;
    return target;
}

struct request_trial
{
    explicit request_trial(const contract &route = routeOf("chat"))
        : request_trial(factsOf(route))
    {
    }

    // Begins at worldStart.
    explicit request_trial(request_facts facts)
        : machine(std::move(facts), budget)
    {
        actions = machine.start(worldStart);
    }

    // Grants the slot of `target`.
    void grantSlot()
    {
        cr_assert(target->load->tryAcquire());
        actions = machine.onSlot(target, worldStart);
    }

    void send(bool byteSent = true)
    {
        grantSlot();
        if (byteSent) {
            machine.onSent(1, worldStart);
        }
    }

    // Calls every timer until then.
    void runUntil(time_point until)
    {
        while (!machine.isOver() && machine.nextDeadline() <= until) {
            actions = machine.onTimer(machine.nextDeadline());
        }
    }

    // Whether the machine asked for such an action last.
    template<typename Action>
    [[nodiscard]] bool asksFor() const
    {
        return std::any_of(actions.begin(), actions.end(), [](const auto &action) { return std::holds_alternative<Action>(action); });
    }

    [[nodiscard]] std::optional<error_kind> failure() const
    {
        const auto found = std::find_if(actions.begin(), actions.end(), [](const auto &action) { return std::holds_alternative<fail_request>(action); });
        return found == actions.end() ? std::nullopt : std::optional(std::get<fail_request>(*found).kind);
    }

    retry_budget budget;
    request_machine machine;
    endpoint_ptr target = endpointWithSlot("e1");
    request_actions actions;
};

} // namespace chicoryrouter::test
