#include "carawayshelf_lab/svg_plot.hpp"

#include <array>
#include <iomanip>
#include <sstream>

namespace carawayshelf::lab
{

namespace
{

constexpr double width = 900.0;
constexpr double height = 620.0;
constexpr double left = 60.0;
constexpr double right = 200.0; ///< Space for the legend.
constexpr double lines_top = 50.0;
constexpr double lines_height = 270.0;
constexpr double bars_top = 390.0;
constexpr double bars_height = 160.0;

constexpr std::array<const char*, 6> colours = {"#1b6ca8", "#c8553d", "#3a7d44",
                                                "#8a5a9e", "#b8860b", "#555555"};

const char* colour_of(std::size_t policy)
{
    return colours[policy % colours.size()];
}

void add_text(std::ostream& out, double x, double y, const std::string& text, const char* anchor)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << text
        << "</text>\n";
}

/** Adds grid lines and labels at 0, 0.25, 0.5, 0.75 and 1. */
void add_scale(std::ostream& out, double top, double area_height)
{
    constexpr int steps = 4;
    for (int i = 0; i <= steps; ++i)
    {
        const double value = static_cast<double>(i) / steps;
        const double y = top + area_height * (1.0 - value);
        out << "<line x1=\"" << left << "\" x2=\"" << width - right << "\" y1=\"" << y << "\" y2=\""
            << y << "\" stroke=\"#dddddd\"/>\n";
        std::ostringstream label;
        label << std::setprecision(2) << value;
        add_text(out, left - 8, y + 4, label.str(), "end");
    }
}

void add_line(std::ostream& out, const std::vector<double>& shares, std::size_t policy)
{
    const double step =
        (width - left - right) / std::max<double>(1.0, static_cast<double>(shares.size()) - 1.0);
    out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour_of(policy)
        << "\" points=\"";
    for (std::size_t i = 0; i < shares.size(); ++i)
    {
        out << left + step * static_cast<double>(i) << ','
            << lines_top + lines_height * (1.0 - shares[i]) << ' ';
    }
    out << "\"/>\n";
}

void add_seconds(std::ostream& out, std::size_t seconds)
{
    const std::size_t every = std::max<std::size_t>(1, seconds / 10);
    const double step =
        (width - left - right) / std::max<double>(1.0, static_cast<double>(seconds) - 1.0);
    for (std::size_t i = 0; i < seconds; i += every)
    {
        add_text(out, left + step * static_cast<double>(i), lines_top + lines_height + 18,
                 std::to_string(i), "middle");
    }
    add_text(out, (left + width - right) / 2, lines_top + lines_height + 36, "second", "middle");
}

void add_bars(std::ostream& out, const lab_scenario& scenario,
              const std::vector<policy_result>& results)
{
    const double group = (width - left - right) / static_cast<double>(scenario.requests.size());
    const double bar = group * 0.8 / static_cast<double>(results.size());
    for (std::size_t kind = 0; kind < scenario.requests.size(); ++kind)
    {
        const double start = left + group * (static_cast<double>(kind) + 0.1);
        for (std::size_t policy = 0; policy < results.size(); ++policy)
        {
            const double value = results[policy].of_kind(kind).worth();
            out << "<rect x=\"" << start + bar * static_cast<double>(policy) << "\" y=\""
                << bars_top + bars_height * (1.0 - value) << "\" width=\"" << bar * 0.9
                << "\" height=\"" << bars_height * value << "\" fill=\"" << colour_of(policy)
                << "\"/>\n";
        }
        add_text(out, start + group * 0.4, bars_top + bars_height + 18,
                 scenario.requests[kind].name, "middle");
    }
}

} // namespace

std::string plot_results(const lab_scenario& scenario, const std::vector<policy_result>& results)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << "<svg xmlns=\"http://www.w3.org/2000/svg\" "
        << "viewBox=\"0 0 " << width << ' ' << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    add_text(out, left, 24, scenario.name + ": share of requests in time, by second", "start");
    add_scale(out, lines_top, lines_height);
    add_scale(out, bars_top, bars_height);
    add_text(out, left, bars_top - 12, "worth by kind of request", "start");
    for (std::size_t policy = 0; policy < results.size(); ++policy)
    {
        add_line(out, results[policy].share_by_second(), policy);
        const double y = lines_top + 18.0 * static_cast<double>(policy);
        out << "<rect x=\"" << width - right + 16 << "\" y=\"" << y
            << "\" width=\"12\" height=\"12\" fill=\"" << colour_of(policy) << "\"/>\n";
        add_text(out, width - right + 34, y + 10, results[policy].policy(), "start");
    }
    if (!results.empty())
    {
        add_seconds(out, results.front().share_by_second().size());
        add_bars(out, scenario, results);
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace carawayshelf::lab
