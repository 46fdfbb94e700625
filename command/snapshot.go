package command

import (
	"context"
	"flag"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

const snapshotMode = 0o600

func snapshotSaveVerb() *verb {
	return &verb{
		name:     "snapshot save",
		synopsis: "write the state of all groups to a file",
		args:     "FILE",
		example:  "figlbctl snapshot save site.snap -timeout 1m",
		flags:    func(*flag.FlagSet) runFunc { return snapshotSave },
	}
}

func snapshotSave(ctx context.Context, in *invocation) error {
	if err := in.requireArgs(1, "FILE"); err != nil {
		return err
	}
	data, err := in.api.SaveSnapshot(ctx)
	if err != nil {
		return err
	}
	if err := writeFileAtomic(in.args[0], data); err != nil {
		return err
	}
	return in.print(map[string]int{"bytes": len(data)}, []string{"SAVED", "BYTES"}, [][]string{{in.args[0], formatInt(len(data))}})
}

// writeFileAtomic replaces the content of a file through a synced temporary file and a rename,
// so that after a crash the file holds either the old or the new content.
func writeFileAtomic(path string, data []byte) error {
	tmp, err := os.OpenFile(path+".tmp", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, snapshotMode)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	_, err = tmp.Write(data)
	if err == nil {
		err = tmp.Sync()
	}
	if closeErr := tmp.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrapf(err, "write %s", tmp.Name())
	}
	if err := os.Rename(tmp.Name(), path); err != nil {
		return errors.Wrap(err, "rename file")
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer func() { _ = dir.Close() }()
	return errors.Wrap(dir.Sync(), "sync folder")
}

func snapshotLoadVerb() *verb {
	return &verb{
		name:     "snapshot load",
		synopsis: "restore a snapshot into a new, empty site",
		args:     "FILE",
		example:  "figlbctl snapshot load site.snap -timeout 1m",
		flags:    func(*flag.FlagSet) runFunc { return snapshotLoad },
	}
}

func snapshotLoad(ctx context.Context, in *invocation) error {
	if err := in.requireArgs(1, "FILE"); err != nil {
		return err
	}
	data, err := os.ReadFile(in.args[0])
	if err != nil {
		return errors.Wrap(err, "read snapshot")
	}
	if err := in.api.LoadSnapshot(ctx, data); err != nil {
		return err
	}
	return in.print(map[string]int{"bytes": len(data)}, []string{"RESTORED", "BYTES"}, [][]string{{in.args[0], formatInt(len(data))}})
}
