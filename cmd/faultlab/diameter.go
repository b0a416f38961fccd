package main

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"unicode"

	"github.com/spf13/cobra"

	"lapisspread/internal/diameter"
)

func diameterCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "diameter",
		Short: "Look at Diameter messages",
		Args:  usage(cobra.NoArgs),
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	var dictionary string
	var isHex bool
	decode := &cobra.Command{
		Use:   "decode [FILE]",
		Short: "Print the messages of a file, or of standard input, by the dictionary, and what is wrong with each",
		Long: `decode reads messages that lie one behind the other, as they are on the wire, or as hexadecimal digits with --hex. It exits
with 1 if a message is wrong.`,
		Args: usage(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			in, name := cmd.InOrStdin(), "standard input"
			if len(args) > 0 {
				f, err := os.Open(args[0])
				if err != nil {
					return fmt.Errorf("reading messages: %w", err)
				}
				defer f.Close()
				in, name = f, args[0]
			}
			if isHex {
				text, err := io.ReadAll(io.LimitReader(in, 64<<20))
				if err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
				b, err := hex.DecodeString(strings.Map(func(r rune) rune {
					if unicode.IsSpace(r) {
						return -1
					}
					return r
				}, string(text)))
				if err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
				in = bytes.NewReader(b)
			}
			d := diameter.Base()
			if dictionary != "" {
				var err error
				if d, err = d.With(dictionary); err != nil {
					return err
				}
			}
			return decodeMessages(cmd.OutOrStdout(), in, name, d)
		},
	}
	decode.Flags().StringVar(&dictionary, "dictionary", "", "a site's AVPs and commands, beside the usual ones")
	decode.Flags().BoolVar(&isHex, "hex", false, "read hexadecimal digits; white space does not count")
	c.AddCommand(decode, sendCommand())
	return c
}

func decodeMessages(w io.Writer, in io.Reader, name string, d *diameter.Dictionary) error {
	r := diameter.NewReader(in, d)
	wrong := 0
	for n := 1; ; n++ {
		m, h, err := r.Next()
		e, ours := diameter.AsError(err)
		switch {
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			if wrong > 0 {
				return fmt.Errorf("%s: %d messages are wrong", name, wrong)
			}
			return nil
		case err != nil && !ours:
			return fmt.Errorf("%s: message %d: %w", name, n, err)
		case ours && e.Framing:
			return fmt.Errorf("%s: message %d: %w", name, n, err)
		}
		kind, command := "answer", fmt.Sprintf("command %d", h.Command)
		if h.IsRequest() {
			kind = "request"
		}
		if c := d.Command(h.App, h.Command); c != nil {
			command = c.Name
		}
		fmt.Fprintf(w, "%d: %s %s, application %d, hop-by-hop %#08x, end-to-end %#08x%s, %d bytes\n", n, command, kind, h.App, h.HopByHop, h.EndToEnd, flagText(h.Flags), h.Length)
		printAVPs(w, m.AVPs(), d, 1)
		if err == nil {
			err = d.Check(m)
		}
		if err != nil {
			wrong++
			fmt.Fprintf(w, "  wrong: %v\n", err)
		}
	}
}

func flagText(f diameter.Flags) string {
	text := ""
	for _, k := range []struct {
		flag diameter.Flags
		name string
	}{{diameter.Proxiable, "proxiable"}, {diameter.ErrorFlag, "error"}, {diameter.Retransmitted, "retransmitted"}} {
		if f&k.flag != 0 {
			text += ", " + k.name
		}
	}
	return text
}

func printAVPs(w io.Writer, c diameter.Cursor, d *diameter.Dictionary, depth int) {
	for c.Next() {
		a := c.AVP
		def := d.AVP(a.Vendor, a.Code)
		name, value := fmt.Sprintf("AVP %d of vendor %d", a.Code, a.Vendor), fmt.Sprintf("%x", a.Data)
		if def != nil {
			name, value = def.Name, valueText(a, def.Format)
		}
		fmt.Fprintf(w, "%s%s: %s\n", strings.Repeat("  ", depth), name, value)
		if def != nil && def.Format == diameter.Grouped && depth <= diameter.MostDepth {
			printAVPs(w, diameter.Walk(a.Data), d, depth+1)
		}
	}
}

func valueText(a diameter.AVP, f diameter.Format) string {
	var v any
	var err error
	switch f {
	case diameter.Grouped:
		return ""
	case diameter.Integer32:
		v, err = a.Int32()
	case diameter.Unsigned32, diameter.Enumerated:
		v, err = a.Uint32()
	case diameter.Integer64:
		v, err = a.Int64()
	case diameter.Unsigned64:
		v, err = a.Uint64()
	case diameter.Float32:
		v, err = a.Float32()
	case diameter.Float64:
		v, err = a.Float64()
	case diameter.Time:
		v, err = a.Time()
	case diameter.Address:
		v, err = a.Address()
	case diameter.UTF8String, diameter.DiameterIdentity, diameter.DiameterURI, diameter.IPFilterRule:
		v, err = a.Text()
		if err == nil {
			v = fmt.Sprintf("%q", v)
		}
	default:
		v = fmt.Sprintf("%x", a.Data)
	}
	if err != nil {
		return fmt.Sprintf("%x (wrong)", a.Data)
	}
	return fmt.Sprint(v)
}
