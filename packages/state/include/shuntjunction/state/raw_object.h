#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "shuntjunction/state/clock.h"

/// Objects as stored in the platform.
namespace shuntjunction::state {

class JsonReader;

/// An object as stored in the platform.
struct RawObject
{
  std::string mKey;
  std::uint64_t mRevision = 0; ///< platform revision of its last change
  std::string mValue;          ///< JSON text; empty when deleted
  /// Time since a process first received this revision; not compared.
  Millis mAge{ 0 };

  bool operator==(const RawObject& aOther) const
  {
    return mKey == aOther.mKey && mRevision == aOther.mRevision &&
           mValue == aOther.mValue;
  }
};

/// An object as JSON.
boost::json::object
WriteRawObject(const RawObject& aObject);

/// Parses the object of a reader.
RawObject
ReadRawObject(JsonReader& aReader);

/// Parses the list of objects under a key.
std::vector<RawObject>
ReadRawObjects(JsonReader& aReader, std::string_view aKey);

} // namespace shuntjunction::state
