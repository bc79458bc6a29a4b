// The operator console: a single static HTML page of forms.
#pragma once

#include <string>

namespace chicoryrouter {

std::string consolePage(); // the page with its styles and scripts inline; it loads no other assets

} // namespace chicoryrouter
