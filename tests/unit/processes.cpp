// Routers as real processes: how they start, what signals do at any moment, and how they end.
#include "support/process_deployment.h"

#include <criterion/criterion.h>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::daemon_process;
using test::describeEnd;
using test::process_deployment;

Test(processes, a_router_serves_and_ends_with_code_0_after_sigterm)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    router.start();
    cr_assert(all.serves(router), "no lookup is answered");
    cr_assert(router.stop(10s), "it did not end within 10 s of SIGTERM");
    cr_assert_eq(router.endedWith(), 0, "%s", describeEnd(router.endedWith()).c_str());
}
