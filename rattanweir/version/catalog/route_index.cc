#include "rattanweir/version/catalog/internal/route_index.h"

#include <algorithm>
#include <charconv>

namespace rattanweir::internal {
namespace {

constexpr int kHexadecimal = 16;

// Returns whether a percent escape is malformed or encodes NUL, a character
// that needs no escape, or one of `/`, `\`, `%` and `;`. A backend server may
// decode such an escape into the path of another route.
bool
IsAmbiguousEscape(std::string_view aDigits)
{
  unsigned char code = 0;
  const char* end = aDigits.data() + aDigits.size();
  const auto parsed = std::from_chars(aDigits.data(), end, code, kHexadecimal);
  if (aDigits.size() != 2 || parsed.ec != std::errc() || parsed.ptr != end) {
    return true;
  }
  constexpr std::string_view kAmbiguousCharacters = "-._~/\\%;";
  const bool isLetter =
    (code >= 'a' && code <= 'z') || (code >= 'A' && code <= 'Z');
  const bool isDigit = code >= '0' && code <= '9';
  return isLetter || isDigit || code == 0 ||
         kAmbiguousCharacters.find(static_cast<char>(code)) !=
           std::string_view::npos;
}

bool
HasAmbiguousEscape(std::string_view aPath)
{
  for (std::size_t at = aPath.find('%'); at != std::string_view::npos;
       at = aPath.find('%', at + 1)) {
    if (IsAmbiguousEscape(aPath.substr(at + 1, 2))) {
      return true;
    }
  }
  return false;
}

// Returns whether the path has only one interpretation, so that a backend
// server cannot treat it as the path of another route. A `;` is ambiguous
// because some servers drop the text after it.
bool
IsUnambiguousPath(std::string_view aPath)
{
  if (!aPath.starts_with('/') || HasAmbiguousEscape(aPath) ||
      aPath.find_first_of("\\;") != std::string_view::npos) {
    return false;
  }
  for (std::string_view rest = aPath.substr(1); !rest.empty();) {
    const std::size_t end = std::min(rest.find('/'), rest.size());
    const std::string_view segment = rest.substr(0, end);
    if (segment.empty() || segment == "." || segment == "..") {
      return false;
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return true;
}

// Returns the path without its last segment; empty for the root.
std::string_view
ParentOf(std::string_view aPath)
{
  const std::size_t slash = aPath.rfind('/');
  if (slash == 0 && aPath.size() > 1) {
    return "/";
  }
  return aPath.substr(0, slash);
}

} // namespace

const Route*
RouteIndex::PrefixRoutes::Find(const std::optional<ModelId>& aModel) const
{
  if (!aModel) {
    return m_anyModelRoute;
  }
  const auto found = m_byModel.find(*aModel);
  return found == m_byModel.end() ? m_anyModelRoute : found->second;
}

RouteIndex::RouteIndex(RoutesSection aSection)
  : m_section(std::move(aSection))
{
  for (const Route& route : m_section.m_routes) {
    m_byId.emplace(route.m_id, &route);
    m_longestPrefix = std::max(m_longestPrefix, route.m_pathPrefix.size());
    PrefixRoutes& routes = m_byPrefix[route.m_pathPrefix];
    if (route.m_model) {
      routes.m_byModel.emplace(*route.m_model, &route);
    } else {
      routes.m_anyModelRoute = &route;
    }
  }
}

const Route*
RouteIndex::Find(const RouteId& aId) const
{
  const auto found = m_byId.find(aId);
  return found == m_byId.end() ? nullptr : found->second;
}

const Route*
RouteIndex::Find(std::string_view aPath,
                 const std::optional<ModelId>& aModel) const
{
  if (!IsUnambiguousPath(aPath)) {
    return nullptr;
  }
  std::string_view prefix = aPath;
  if (prefix.size() > m_longestPrefix) {
    // Truncate to the longest prefix length, so that a long path is not hashed
    // once per segment. The additional character shows whether the truncation
    // falls on a `/`.
    prefix = prefix.substr(0, m_longestPrefix + 1);
    prefix = ParentOf(prefix);
  }
  for (; !prefix.empty(); prefix = ParentOf(prefix)) {
    const auto routes = m_byPrefix.find(prefix);
    if (routes == m_byPrefix.end()) {
      continue;
    }
    if (const Route* route = routes->second.Find(aModel)) {
      return route;
    }
  }
  return nullptr;
}

} // namespace rattanweir::internal
