#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/http_fields/http_fields.h"

#include <algorithm>
#include <cctype>

namespace rattanweir {
namespace {

constexpr std::string_view kConnectionFields[] = {
  "connection", "content-length",     "expect",
  "keep-alive", "proxy-authenticate", "proxy-authorization",
  "te",         "proxy-connection",   "trailer",
  "upgrade",    "transfer-encoding",
};

bool
IsSameLetter(char aLeft, char aRight)
{
  return std::tolower(static_cast<unsigned char>(aLeft)) ==
         std::tolower(static_cast<unsigned char>(aRight));
}

// The names that the Connection fields list.
std::vector<std::string>
NamedByConnection(const HeaderFields& aFields)
{
  std::vector<std::string> names;
  for (const HeaderField& field : aFields) {
    if (!IsSameFieldName(field.m_name, "connection")) {
      continue;
    }
    std::string name;
    for (const char letter : field.m_value + ",") {
      if (letter == ',') {
        names.push_back(std::exchange(name, {}));
      } else if (letter != ' ' && letter != '\t') {
        name += letter;
      }
    }
  }
  return names;
}

} // namespace

bool
IsSameFieldName(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, IsSameLetter);
}

std::optional<std::string>
FindField(const HeaderFields& aFields, std::string_view aName)
{
  for (const HeaderField& field : aFields) {
    if (IsSameFieldName(field.m_name, aName)) {
      return field.m_value;
    }
  }
  return std::nullopt;
}

void
DropConnectionFields(HeaderFields& aFields)
{
  const std::vector<std::string> named = NamedByConnection(aFields);
  std::erase_if(aFields, [&](const HeaderField& aField) {
    const auto isThisOne = [&](std::string_view aName) {
      return IsSameFieldName(aName, aField.m_name);
    };
    return std::ranges::any_of(kConnectionFields, isThisOne) ||
           std::ranges::any_of(named, isThisOne);
  });
}

} // namespace rattanweir
