#include "rattanweir/version/section/internal/section_reader.h"

#include <algorithm>

namespace rattanweir::internal {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaximumPathBytes = 256;
constexpr Range<std::chrono::nanoseconds> kDeadlines{ 10ms, 24h };
constexpr Range<std::int64_t> kFixedTokens{ 0, 1'000'000'000 };
constexpr Range<std::int64_t> kDefaultMaxTokens{ 1, 1'000'000'000 };

bool
IsPathCharacter(char aCharacter)
{
  return aCharacter > ' ' && aCharacter < '\x7f' && aCharacter != '?' &&
         aCharacter != '#' && aCharacter != '%' && aCharacter != ';' &&
         aCharacter != '\\';
}

bool
IsPathPrefix(const std::string& aPath)
{
  if (aPath == "/") {
    return true;
  }
  const bool hasValidEnds = aPath.starts_with('/') && !aPath.ends_with('/');
  const std::string closedPath = aPath + "/";
  const bool hasInvalidSegment = closedPath.find("//") != std::string::npos ||
                                 closedPath.find("/./") != std::string::npos ||
                                 closedPath.find("/../") != std::string::npos;
  return hasValidEnds && !hasInvalidSegment &&
         aPath.size() <= kMaximumPathBytes &&
         std::all_of(aPath.begin(), aPath.end(), IsPathCharacter);
}

std::string
ReadPathPrefix(MappingReader& aRow)
{
  std::string path = aRow.ReadText("path");
  if (!path.empty() && !IsPathPrefix(path)) {
    aRow.AddFault(
      "path",
      "'" + path.substr(0, kMaximumPathBytes) +
        "' is not a path prefix such as /v1/chat: at most 256 "
        "characters, no query, no percent escapes, no trailing '/'");
  }
  return path;
}

Residency
ReadResidency(MappingReader& aRow, bool aIsOpenToAll)
{
  if (aRow.IsList("residency")) {
    ListedRegions listed;
    for (std::string& region : aRow.ReadIdList("residency")) {
      listed.m_regions.insert(RegionId(std::move(region)));
    }
    return listed;
  }
  auto residency = aRow.ReadChoice<Residency>(
    "residency",
    { { "any", AnyRegion() }, { "home", HomeRegionOfClientAccount() } });
  const bool isHome =
    std::holds_alternative<HomeRegionOfClientAccount>(residency);
  if (isHome && aIsOpenToAll) {
    aRow.AddFault("residency",
                  "is home, but a route that is open to all has no client "
                  "account");
  }
  return residency;
}

RouteCost
ReadCost(MappingReader& aRow)
{
  MappingReader cost = aRow.ReadMapping("cost");
  const bool isFixed = cost.Has("fixed_tokens");
  const bool isModel = cost.Has("default_max_tokens");
  if (aRow.Has("cost") && cost.IsMapping() && isFixed == isModel) {
    aRow.AddFault("cost",
                  "must have either fixed_tokens or default_max_tokens");
  }
  RouteCost result;
  if (isModel) {
    result = ModelCost{ Tokens(
      cost.ReadInteger("default_max_tokens", kDefaultMaxTokens)) };
  }
  if (isFixed) {
    result =
      FixedCost{ Tokens(cost.ReadInteger("fixed_tokens", kFixedTokens)) };
  }
  cost.RejectUnknownFields();
  return result;
}

Route
ReadRoute(MappingReader& aRow)
{
  Route route{
    .m_id = aRow.ReadId<RouteId>("id"),
    .m_pathPrefix = ReadPathPrefix(aRow),
    .m_model = aRow.ReadOptionalId<ModelId>("model"),
    .m_isOpenToAll = aRow.ReadBoolean("open_to_all", false),
    .m_isIdempotent = aRow.ReadBoolean("idempotent"),
  };
  route.m_residency = ReadResidency(aRow, route.m_isOpenToAll);
  route.m_cost = ReadCost(aRow);
  route.m_deadline = aRow.ReadDuration("deadline", kDeadlines);
  route.m_pool = aRow.ReadId<PoolId>("pool");
  return route;
}

} // namespace

RoutesSection
ReadRoutes(MappingReader& aSection)
{
  RoutesSection section;
  UniqueValues ids;
  UniqueValues pathsAndModels;
  aSection.ReadRows("routes", [&](MappingReader& aRow) {
    Route route = ReadRoute(aRow);
    ids.Check(aRow, "id", route.m_id.Value(), "id");
    const std::string model =
      route.m_model ? " with model " + route.m_model->Value() : "";
    if (!route.m_pathPrefix.empty()) {
      pathsAndModels.Check(aRow, "path", route.m_pathPrefix + model, "path");
    }
    section.m_routes.push_back(std::move(route));
  });
  return section;
}

} // namespace rattanweir::internal
