// JSON as text for people.
//
//   PrintAsText(answer, std::cout);
//
// A field is `name: value` on its own line, fields below it are indented, and
// rows of a list begin with `- `.

#pragma once

#include <json/value.h>

#include <ostream>

namespace rattanweir::ctl {

void
PrintAsText(const Json::Value& aValue, std::ostream& aOut);

} // namespace rattanweir::ctl
