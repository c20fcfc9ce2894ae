#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Plain data types for HTTP requests and responses.
namespace shuntjunction::transport {

/// A header field.
struct HttpField
{
  std::string mName;
  std::string mValue;
};

/// A request with its complete body.
struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  std::vector<HttpField> mFields;
  std::string mContentType;
  std::string mBody;

  /// Value of a field, whose name is case-insensitive; empty when absent.
  std::string_view Field(std::string_view aName) const;

  /// Target without the query.
  std::string_view Path() const;

  /// Value of a query parameter, decoded as that of a form; empty when absent
  /// or when the target is invalid.
  std::string Query(std::string_view aName) const;
};

/// A response with its complete body.
struct HttpResponse
{
  unsigned mStatus = 200;
  std::string mContentType = "application/json";
  std::vector<HttpField> mFields;
  std::string mBody;
  /// Only the end of the connection marks the end of the body.
  bool mEndsWithConnection = false;
};

/// Type that a Content-Type field names, without its parameters.
std::string_view
MediaType(std::string_view aContentType);

/// Whether a media type is JSON, or JSON of a certain structure.
bool
IsJsonType(std::string_view aMediaType);

} // namespace shuntjunction::transport
