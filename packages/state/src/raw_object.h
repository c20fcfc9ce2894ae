#pragma once

// Private to the state package.

#include <vector>

#include <boost/json/object.hpp>

#include "shuntjunction/state/config_objects.h"
#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::state {

/// An object as JSON.
boost::json::object
WriteRawObject(const RawObject& aObject);

/// The list of objects under a key.
std::vector<RawObject>
ReadRawObjects(JsonReader& aReader, std::string_view aKey);

} // namespace shuntjunction::state
