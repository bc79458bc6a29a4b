// The table from error kind to answer.
#include "chicoryrouter/error.h"

#include <criterion/criterion.h>

#include <set>

using namespace chicoryrouter;

Test(error_table, every_kind_has_a_row_of_its_own)
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < static_cast<std::size_t>(error_kind::Count); ++i) {
        const error_response &row = responseFor(static_cast<error_kind>(i));
        cr_expect(names.insert(row.name).second, "name '%s' stands twice", std::string(row.name).c_str());
        cr_expect(row.httpStatus >= 400 && row.httpStatus < 600);
        cr_expect(!row.text.empty());
    }
}

Test(error_table, kinds_after_a_byte_may_have_left_never_say_not_run)
{
    for (const error_kind kind :
        {error_kind::EndpointFailed, error_kind::EndpointLost, error_kind::EndpointGarbage, error_kind::DeadlinePassed, error_kind::Internal}) {
        cr_expect(responseFor(kind).ran == ran_state::Unknown, "%s", std::string(responseFor(kind).name).c_str());
    }
}
