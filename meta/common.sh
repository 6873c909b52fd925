# Sourced by the other scripts of this folder: installs packages, configures and builds.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
export CCACHE_DIR="${CCACHE_DIR:-${HOME:-/root}/.cache/lovagecleat-ccache}"
# Lets checkouts in different folders share the cache.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=pch_defines,time_macros

# Installs the packages of meta/packages.txt that are missing on this machine.
install_packages() {
  local missing=()
  local package
  while read -r package; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
  done < meta/packages.txt
  [ ${#missing[@]} -eq 0 ] && return 0
  echo "installing: ${missing[*]}"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" > /dev/null
}

# build_tree FOLDER TARGET [CMAKE OPTIONS]: configures FOLDER and builds TARGET in it.
build_tree() {
  local folder="$1" target="$2"
  shift 2
  cmake -S . -B "$folder" -G Ninja "$@" > /dev/null
  cmake --build "$folder" --target "$target"
}
