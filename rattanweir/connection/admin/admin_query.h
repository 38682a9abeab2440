// The path and the query of a request's target, decoded.
//
//   const AdminQuery query = ParseAdminTarget("/explain?route=quote%2Fnew");
//   query.m_path;                 // "/explain"
//   query.Require("route");       // "quote/new"
//
// Safe from any thread.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace rattanweir {

struct AdminQuery
{
  std::string m_path;
  std::map<std::string, std::string> m_parameters;

  // The parameter's value, or nothing.
  std::optional<std::string> Find(const std::string& aName) const;

  // Throws RequestError with MalformedRequest if there is no such parameter.
  std::string Require(const std::string& aName) const;
};

// Throws RequestError with MalformedRequest if an escape is none or a
// parameter comes twice.
AdminQuery
ParseAdminTarget(std::string_view aTarget);

} // namespace rattanweir
