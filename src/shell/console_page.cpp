// The console's page.
#include "shell/console_page.h"

namespace chicoryrouter {

std::string consolePage()
{
    return "<!doctype html><title>chicoryrouter</title><p>The console follows.</p>";
}

} // namespace chicoryrouter
