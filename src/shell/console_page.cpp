// The console's page, compiled in.
#include "shell/console_page.h"

#include "console_page_text.h"

namespace chicoryrouter {

std::string consolePage()
{
    return detail::consolePageText;
}

} // namespace chicoryrouter
