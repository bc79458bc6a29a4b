// The HTML page of the console, compiled into the program.
#include "shell/console_page.h"

#include "console_page_text.h"

namespace chicoryrouter {

std::string consolePage()
{
    return detail::consolePageText;
}

} // namespace chicoryrouter
