// Prints JSON as human-readable text.
//
//   PrintAsText(response, std::cout);
//
// Prints each field as `name: value` on its own line, indents nested fields and
// starts each array element with `- `.

#pragma once

#include <json/value.h>

#include <ostream>

namespace rattanweir::ctl {

void
PrintAsText(const Json::Value& aValue, std::ostream& aOut);

} // namespace rattanweir::ctl
