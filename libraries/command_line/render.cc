#include "command_line/render.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace lovagecleat::command_line {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kColumnGap = "  ";
constexpr std::size_t kMaximumCellWidth = 60;
constexpr std::string_view kTimestampSuffix = "_unix_ms";
constexpr int kFractionDigits = 2;
constexpr bool kAllowExceptions = false;

std::string FormatScalar(const Json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (value.is_boolean()) return value.get<bool>() ? "yes" : "no";
  if (value.is_null()) return "-";
  if (value.is_number_float()) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(kFractionDigits)
         << value.get<double>();
    return text.str();
  }
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool IsListOfObjects(const Json& value) {
  return value.is_array() && !value.empty() &&
         std::all_of(value.begin(), value.end(),
                     [](const Json& item) { return item.is_object(); });
}

std::string FormatList(const Json& value) {
  std::string text;
  for (const Json& item : value) {
    if (!text.empty()) text += ", ";
    text += FormatScalar(item);
  }
  return text.empty() ? "-" : text;
}

std::string FormatValue(const Json& value) {
  if (value.is_array() && !IsListOfObjects(value)) return FormatList(value);
  return FormatScalar(value);
}

// Documents contain times in milliseconds since the Unix epoch.
std::string FormatTimestamp(std::int64_t unix_milliseconds) {
  constexpr std::int64_t milliseconds_per_second = 1000;
  const auto seconds =
      static_cast<std::time_t>(unix_milliseconds / milliseconds_per_second);
  std::tm parts{};
  if (gmtime_r(&seconds, &parts) == nullptr) return "-";
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%d %H:%M:%S UTC");
  return text.str();
}

// Abbreviates nested values that are too wide for a table; they are available
// as JSON.
std::string FormatCell(std::string_view column, const Json& value) {
  if (column.ends_with(kTimestampSuffix) && value.is_number_integer()) {
    return FormatTimestamp(value.get<std::int64_t>());
  }
  std::string text = FormatValue(value);
  if (!value.is_structured() || text.size() <= kMaximumCellWidth) return text;
  const char* const brackets = value.is_object() ? "{...}" : "[...]";
  return brackets;
}

// Returns the columns in the order of their first use, identifiers in front.
std::vector<std::string> ColumnsOf(const Json& rows) {
  std::vector<std::string> columns;
  for (const Json& row : rows) {
    for (const auto& [key, value] : row.items()) {
      if (std::find(columns.begin(), columns.end(), key) != columns.end()) {
        continue;
      }
      const bool is_leading =
          key == "id" || key == "stage" || key == "revision";
      columns.insert(is_leading ? columns.begin() : columns.end(), key);
    }
  }
  return columns;
}

std::string FormatTable(const Json& rows) {
  const std::vector<std::string> columns = ColumnsOf(rows);
  Table table(columns);
  for (const Json& row : rows) {
    std::vector<std::string> cells;
    for (const std::string& column : columns) {
      const auto found = row.find(column);
      cells.push_back(found == row.end() ? "" : FormatCell(column, *found));
    }
    table.AddRow(std::move(cells));
  }
  return table.Text();
}

// Returns the number of terminal columns, one for each UTF-8 code point.
std::size_t DisplayWidth(std::string_view text) {
  constexpr unsigned char kind_mask = 0xC0;
  constexpr unsigned char continuation = 0x80;
  return static_cast<std::size_t>(
      std::count_if(text.begin(), text.end(), [](char byte) {
        return (static_cast<unsigned char>(byte) & kind_mask) != continuation;
      }));
}

}  // namespace

Table::Table(std::vector<std::string> columns) {
  rows_.push_back(std::move(columns));
}

void Table::AddRow(std::vector<std::string> cells) {
  cells.resize(rows_.front().size());
  rows_.push_back(std::move(cells));
}

std::string Table::Text() const {
  std::vector<std::size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], DisplayWidth(row[i]));
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      if (i != 0) line += kColumnGap;
      line += row[i];
      line.append(widths[i] - DisplayWidth(row[i]), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  }
  return text;
}

std::string RenderDocument(std::string_view json) {
  const Json document = Json::parse(json, nullptr, kAllowExceptions);
  if (!document.is_object()) return std::string(json) + '\n';
  std::string members;
  std::string tables;
  for (const auto& [key, value] : document.items()) {
    if (IsListOfObjects(value)) {
      tables += "\n" + key + "\n" + FormatTable(value);
    } else {
      members += key + ": " + FormatValue(value) + '\n';
    }
  }
  return members + tables;
}

}  // namespace lovagecleat::command_line
