#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "shuntjunction/state/error.h"

/// Validated reading of JSON objects: every error names the key, the value
/// found and what is allowed.
namespace shuntjunction::state {

/// Parses JSON text; comments and trailing commas are allowed.
///
/// @param aWhat  name of the text in errors, as "settings file a.json"
Result<boost::json::value>
ParseJson(std::string_view aText, std::string_view aWhat);

/// Parses JSON with parts from several other writers.
///
/// Accepts invalid UTF-8 and deep nesting, so that they spoil only the part
/// that contains them and not the whole text.
///
/// Thread safety: pure.
Result<boost::json::value>
ParseUntrustedJson(std::string_view aText, std::string_view aWhat);

/// Reads the members of one object and keeps the first error.
///
/// Read every known key, then call Finish: it also rejects keys that were not
/// read.
/// Thread safety: none.
class JsonReader
{
public:
  /// @param aPath  path of the object in errors, as "teams/riga" or ""
  /// @pre   aValue outlives the reader
  JsonReader(const boost::json::value& aValue, std::string_view aPath);
  JsonReader(boost::json::value&& aValue, std::string_view aPath) = delete;

  /// A string; aDefault when the key is absent, an error without a default.
  std::string Text(std::string_view aKey,
                   std::optional<std::string> aDefault = std::nullopt);

  /// An integer within bounds.
  std::int64_t Integer(std::string_view aKey,
                       std::int64_t aMin,
                       std::int64_t aMax,
                       std::optional<std::int64_t> aDefault = std::nullopt);

  /// A number within bounds.
  double Number(std::string_view aKey,
                double aMin,
                double aMax,
                std::optional<double> aDefault = std::nullopt);

  /// A boolean.
  bool Flag(std::string_view aKey, std::optional<bool> aDefault = std::nullopt);

  /// A list of strings; empty when absent.
  std::vector<std::string> Texts(std::string_view aKey);

  /// An enumeration value by its name.
  template<typename Enum, std::size_t Count>
  Enum Name(std::string_view aKey,
            const EnumNames<Enum, Count>& aNames,
            std::optional<Enum> aDefault = std::nullopt)
  {
    std::optional<std::string> fallback;
    if (aDefault) {
      fallback = std::string(aNames.Name(*aDefault));
    }
    const std::string text = Text(aKey, fallback);
    const auto value = aNames.Parse(text);
    if (!value) {
      AddError(aKey, "\"" + text + "\"", "one of " + aNames.Allowed());
    }
    return value.value_or(Enum{});
  }

  /// The value of a key; null when absent.
  const boost::json::value* Find(std::string_view aKey);

  /// Records an error of a key, unless there is an earlier one.
  void AddError(std::string_view aKey,
                std::string_view aFound,
                std::string_view aAllowed);

  /// Takes over the error of a nested reader, if any.
  void Merge(const Result<void>& aNested);

  /// Path of a key, as errors name it.
  std::string KeyPath(std::string_view aKey) const;

  /// The first error, or success; rejects unknown keys.
  Result<void> Finish();

  /// The first error, or success; ignores unknown keys, for objects that others
  /// write and may extend.
  Result<void> FinishLenient() const;

private:
  const boost::json::object* mObject = nullptr;
  std::string mPath;
  std::vector<std::string> mKnownKeys;
  std::optional<Error> mError;
};

/// Reads each object of a list, which is required and may contain nothing else.
///
/// @param aRead  called with a reader of each object
template<typename Function>
void
ReadList(JsonReader& aReader, std::string_view aKey, Function aRead)
{
  const auto* list = aReader.Find(aKey);
  if (list == nullptr || !list->is_array()) {
    aReader.AddError(aKey, "absent", "a list of objects");
    return;
  }
  for (const auto& item : list->as_array()) {
    JsonReader reader(item, aKey);
    aRead(reader);
    aReader.Merge(reader.Finish());
  }
}

} // namespace shuntjunction::state
