/*
 * Output of the client, as JSON or as a table, and JSON input from files.
 */

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "client/cli_internal.h"

#define CLI_COLUMNS_MAX 16
#define CLI_CELL_BYTES 256 /* with the NUL; longer cells are truncated */

void
cli_print_json(struct cli *cli, const json_t *json)
{
	json_dumpf(json, cli->out, JSON_INDENT(2));
	fputc('\n', cli->out);
}

void
cli_table_add_row(struct cli_table *table)
{
	if (table->rows == NULL)
		table->rows = json_array();
	table->row = json_array();
	json_array_append_new(table->rows, table->row);
}

void
cli_table_add_cell(struct cli_table *table, const char *fmt, ...)
{
	char text[CLI_CELL_BYTES];
	json_t *cell;
	va_list ap;
	size_t i;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	for (i = 0; text[i] != '\0'; i++) {
		if ((unsigned char)text[i] < ' ')
			text[i] = ' ';
	}
	cell = json_string(text);
	json_array_append_new(table->row,
	    cell != NULL ? cell : json_string("?"));
}

void
cli_table_print(struct cli_table *table, FILE *out)
{
	size_t widths[CLI_COLUMNS_MAX] = { 0 };
	json_t *row, *cell;
	size_t i, j, len;

	json_array_foreach (table->rows, i, row) {
		json_array_foreach (row, j, cell) {
			len = json_string_length(cell);
			if (j < CLI_COLUMNS_MAX && len > widths[j])
				widths[j] = len;
		}
	}
	json_array_foreach (table->rows, i, row) {
		json_array_foreach (row, j, cell) {
			if (j >= CLI_COLUMNS_MAX)
				break;
			if (j + 1 < json_array_size(row))
				fprintf(out, "%-*s  ", (int)widths[j],
				    json_string_value(cell));
			else
				fputs(json_string_value(cell), out);
		}
		fputc('\n', out);
	}
	json_decref(table->rows);
	table->rows = NULL;
}

char *
cli_format_labels(const json_t *labels)
{
	char *text = NULL;
	const char *name;
	size_t len = 0;
	json_t *value;
	FILE *stream;

	stream = open_memstream(&text, &len);
	if (stream == NULL)
		abort();
	json_object_foreach ((json_t *)labels, name, value) {
		if (ftell(stream) > 0)
			fputc(',', stream);
		fputs(name, stream);
		if (json_string_length(value) > 0)
			fprintf(stream, "=%s", json_string_value(value));
	}
	fclose(stream);
	return text;
}

json_t *
cli_read_json(struct cli *cli, const char *file)
{
	FILE *stream = stdin;
	json_error_t error;
	json_t *json;

	if (strcmp(file, "-") != 0)
		stream = fopen(file, "re");
	if (stream == NULL) {
		fprintf(cli->err, "berylrail: can't open %s\n", file);
		return NULL;
	}
	json = json_loadf(stream, JSON_REJECT_DUPLICATES, &error);
	if (json == NULL)
		fprintf(cli->err, "berylrail: %s: line %d, column %d: %s\n",
		    file, error.line, error.column, error.text);
	if (stream != stdin)
		fclose(stream);
	return json;
}
