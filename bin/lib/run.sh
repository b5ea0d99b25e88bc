# Shared by the scripts in bin/: builds what is missing, then runs a main class in this process.
# Source it and call: run_main MODULE MAIN_CLASS "$@". JAVA_OPTS holds options for the JVM.

WHINHEAD_ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)"

# Prints the file that holds a module's class path.
class_path_file() {
  printf '%s/%s/target/run.classpath' "$WHINHEAD_ROOT" "$1"
}

# Prints the modules of this workspace that a module runs with, itself included, one a line.
workspace_modules() {
  printf '%s\n' "$1"
  tr ':' '\n' < "$(class_path_file "$1")" \
    | sed -n "s|^$WHINHEAD_ROOT/\([^/]*\)/target/classes\$|\1|p"
}

# Succeeds if the class path is known and every class directory is as new as its sources.
is_built() {
  local class_path_file module directory
  class_path_file="$(class_path_file "$1")"
  [[ -s "$class_path_file" && ! "$WHINHEAD_ROOT/pom.xml" -nt "$class_path_file" ]] || return 1
  while read -r module; do
    directory="$WHINHEAD_ROOT/$module"
    [[ -d "$directory/target/classes" ]] || return 1
    [[ ! "$directory/pom.xml" -nt "$class_path_file" ]] || return 1
    [[ -z "$(find "$directory/src/main" -newer "$class_path_file" -print -quit)" ]] || return 1
  done < <(workspace_modules "$1")
}

# Compiles a module with those it needs. The compile phase, not package, makes Maven name the
# target/classes of sibling modules; nothing is installed in the local repository.
build() {
  local class_path_file
  class_path_file="$(class_path_file "$1")"
  mvn -q -B -ntp -f "$WHINHEAD_ROOT/pom.xml" -pl "$1" -am -Dspotless.check.skip=true \
    compile dependency:build-classpath \
    -DincludeScope=runtime -Dmdep.outputFile=target/run.classpath.new >&2 || return 1
  mv "$class_path_file.new" "$class_path_file"
}

# Builds a module once, also when several scripts start at the same time.
ensure_built() {
  is_built "$1" && return
  mkdir -p "$WHINHEAD_ROOT/target"
  (
    flock 9
    is_built "$1" || build "$1"
  ) 9> "$WHINHEAD_ROOT/target/build.lock"
}

# Replaces this shell by the JVM, so that signals reach it.
run_main() {
  local module="$1" main_class="$2"
  shift 2
  ensure_built "$module" || {
    echo "The build of module $module failed." >&2
    exit 1
  }
  # shellcheck disable=SC2086 # JAVA_OPTS is a list of options
  exec java ${JAVA_OPTS:-} \
    -cp "$WHINHEAD_ROOT/$module/target/classes:$(< "$(class_path_file "$module")")" \
    "$main_class" "$@"
}
