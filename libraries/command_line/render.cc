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
constexpr std::size_t kWidestCell = 60;
constexpr std::string_view kInstantSuffix = "_unix_ms";
constexpr int kFractionDigits = 2;
constexpr bool kAllowExceptions = false;

std::string ShowScalar(const Json& value) {
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

std::string ShowList(const Json& value) {
  std::string text;
  for (const Json& item : value) {
    if (!text.empty()) text += ", ";
    text += ShowScalar(item);
  }
  return text.empty() ? "-" : text;
}

std::string ShowValue(const Json& value) {
  if (value.is_array() && !IsListOfObjects(value)) return ShowList(value);
  return ShowScalar(value);
}

// Instants are milliseconds since 1970 in documents.
std::string ShowInstant(std::int64_t unix_milliseconds) {
  constexpr std::int64_t milliseconds_per_second = 1000;
  const auto seconds =
      static_cast<std::time_t>(unix_milliseconds / milliseconds_per_second);
  std::tm parts{};
  if (gmtime_r(&seconds, &parts) == nullptr) return "-";
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%d %H:%M:%S UTC");
  return text.str();
}

// What a table has no room for can be had as JSON.
std::string ShowCell(std::string_view column, const Json& value) {
  if (column.ends_with(kInstantSuffix) && value.is_number_integer()) {
    return ShowInstant(value.get<std::int64_t>());
  }
  std::string text = ShowValue(value);
  if (!value.is_structured() || text.size() <= kWidestCell) return text;
  const char* const brackets = value.is_object() ? "{...}" : "[...]";
  return brackets;
}

// Columns in the order in which the rows first name them, the id in front.
std::vector<std::string> ColumnsOf(const Json& rows) {
  std::vector<std::string> columns;
  for (const Json& row : rows) {
    for (const auto& [key, value] : row.items()) {
      if (std::find(columns.begin(), columns.end(), key) != columns.end()) {
        continue;
      }
      const bool leads = key == "id" || key == "stage" || key == "revision";
      columns.insert(leads ? columns.begin() : columns.end(), key);
    }
  }
  return columns;
}

std::string ShowTable(const Json& rows) {
  const std::vector<std::string> columns = ColumnsOf(rows);
  Table table(columns);
  for (const Json& row : rows) {
    std::vector<std::string> cells;
    for (const std::string& column : columns) {
      const auto found = row.find(column);
      cells.push_back(found == row.end() ? "" : ShowCell(column, *found));
    }
    table.AddRow(std::move(cells));
  }
  return table.Text();
}

// A place in the terminal for each code point; continuation bytes take none.
std::size_t Width(std::string_view text) {
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
      widths[i] = std::max(widths[i], Width(row[i]));
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      if (i != 0) line += kColumnGap;
      line += row[i];
      line.append(widths[i] - Width(row[i]), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  }
  return text;
}

std::string RenderDocument(std::string_view json) {
  const Json document = Json::parse(json, nullptr, kAllowExceptions);
  if (!document.is_object()) return std::string(json) + '\n';
  std::string plain;
  std::string tables;
  for (const auto& [key, value] : document.items()) {
    if (IsListOfObjects(value)) {
      tables += "\n" + key + "\n" + ShowTable(value);
    } else {
      plain += key + ": " + ShowValue(value) + '\n';
    }
  }
  return plain + tables;
}

}  // namespace lovagecleat::command_line
