// Indexes the routes of one section version by id and by path and model.

#pragma once

#include "rattanweir/version/section/section.h"

#include <unordered_map>

namespace rattanweir::internal {

class RouteIndex
{
public:
  RouteIndex() = default;
  explicit RouteIndex(RoutesSection aSection);
  RouteIndex(const RouteIndex&) = delete;
  RouteIndex& operator=(const RouteIndex&) = delete;
  RouteIndex(RouteIndex&&) = default;
  RouteIndex& operator=(RouteIndex&&) = default;

  const Route* Find(const RouteId& aId) const;
  const Route* Find(std::string_view aPath,
                    const std::optional<ModelId>& aModel) const;

private:
  // The routes that share one path prefix: one per model, and at most one that
  // matches any model.
  struct PrefixRoutes
  {
    const Route* m_anyModelRoute = nullptr;
    std::unordered_map<ModelId, const Route*> m_byModel;

    const Route* Find(const std::optional<ModelId>& aModel) const;
  };

  RoutesSection m_section;
  std::unordered_map<RouteId, const Route*> m_byId;
  // The keys are views of strings in m_section.
  std::unordered_map<std::string_view, PrefixRoutes> m_byPrefix;
  std::size_t m_longestPrefix = 0;
};

} // namespace rattanweir::internal
