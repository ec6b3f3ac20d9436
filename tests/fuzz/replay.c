/*
 * Replacement for libFuzzer's main(): runs the fuzz target on an empty input
 * and on every file of the corpus directories given on the command line.
 */
#include <dirent.h>
#include <err.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
replay_file(const char *path)
{
	struct stat st;
	uint8_t *data;
	FILE *file;
	size_t n;

	file = fopen(path, "rb");
	if (file == NULL || fstat(fileno(file), &st) == -1)
		err(1, "%s", path);
	if (S_ISREG(st.st_mode)) {
		/* With an exact size ASan detects reads past the end. */
		data = malloc((size_t)st.st_size);
		if (data == NULL && st.st_size > 0)
			err(1, "malloc");
		n = fread(data, 1, (size_t)st.st_size, file);
		LLVMFuzzerTestOneInput(data, n);
		free(data);
	}
	fclose(file);
}

static int
replay_dir(const char *path)
{
	struct dirent *entry;
	char name[4096];
	int n;
	DIR *dir;

	dir = opendir(path);
	if (dir == NULL) {
		warn("%s", path);
		return 0;
	}
	n = 0;
	while ((entry = readdir(dir)) != NULL) {
		if (entry->d_name[0] == '.')
			continue;
		snprintf(name, sizeof(name), "%s/%s", path, entry->d_name);
		replay_file(name);
		n++;
	}
	closedir(dir);
	return n;
}

int
main(int argc, char **argv)
{
	int i, n;

	n = 0;
	LLVMFuzzerTestOneInput((const uint8_t *)"", 0);
	for (i = 1; i < argc; i++)
		n += replay_dir(argv[i]);
	printf("%d inputs replayed\n", n);
	return 0;
}
